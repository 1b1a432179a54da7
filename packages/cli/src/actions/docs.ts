import { defineCommand } from 'citty'
import { configurationDocument } from '@bluebellhill/services'

import { runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'docs',
  description: 'Write the page docs/CONFIGURATION.md from the schema that checks the files',
  examples: ['bluebellhill docs > docs/CONFIGURATION.md']
}

/** Prints the reference page of all settings and configuration fields. */
export const docs = defineCommand({
  meta: META,
  args: {},
  run: ({ args }) => runAction(args, () => { process.stdout.write(configurationDocument()) })
})
