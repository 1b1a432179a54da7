import { defineCommand } from 'citty'
import { FLEET_VALUE_NAME } from '@bluebellhill/services'

import { EDIT_ARGS, makeEdit, PLATFORM_ARGS, readValue, showEdit, valueNameOfText, withStore } from '../configuration/index.js'
import { ActionError, ExitCode, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'remove',
  description: 'Remove an organisation from the configuration',
  examples: ['bluebellhill remove bayangol --platform 10.0.0.1:2379', 'bluebellhill remove bayangol --wait'],
  notes: ['Its keys are refused afterwards; requests in progress finish. The edit history is kept.']
}

/** Marks the stored configuration of an organisation as removed. */
export const remove = defineCommand({
  meta: META,
  args: {
    name: { type: 'positional', required: true, description: 'the organisation' },
    ...PLATFORM_ARGS,
    ...EDIT_ARGS
  },
  run: ({ args }) => runAction(args, async () => {
    const name = valueNameOfText(args.name)
    if (name === FLEET_VALUE_NAME) throw new ActionError(ExitCode.Usage, 'the fleet\'s configuration cannot be removed', 'apply another file of the fleet')
    await withStore(args, async (store) => {
      await readValue(store, name)
      showEdit(await makeEdit(store, name, null, args), args.json)
    })
  })
})
