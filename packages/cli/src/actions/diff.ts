import { defineCommand } from 'citty'
import { formatProblem, valueNameOfFile } from '@bluebellhill/services'

import { valueOrThrow, checkFile, differencesOf, PLATFORM_ARGS, withStore } from '../configuration/index.js'
import { ActionError, ExitCode, outputPainter, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'diff',
  description: 'Show what applying a file would change',
  examples: ['bluebellhill diff bayangol.yaml --platform 10.0.0.1:2379'],
  notes: ['Exits with code 0 if nothing would change, 1 if something would.']
}

/** Compares a configuration file with the stored value of the same name. */
export const diff = defineCommand({
  meta: META,
  args: {
    file: { type: 'positional', required: true, description: 'a file of the fleet or of an organisation' },
    ...PLATFORM_ARGS,
    json: { type: 'boolean', description: 'write JSON', default: false }
  },
  run: ({ args }) => runAction(args, async () => {
    const checked = await checkFile(args.file)
    if (checked.type !== 'configuration') {
      const message = checked.type === 'wrong' ? checked.problems.map(formatProblem).join('\n') : `${args.file} holds the settings of a node`
      throw new ActionError(ExitCode.Failed, message, 'give a file with "kind: fleet" or "kind: organisation"')
    }
    const name = valueNameOfFile(checked.value)
    const stored = await withStore(args, async (store) => valueOrThrow(await store.read(name)))
    const value = stored?.value ?? null
    const text = value === null || value.removed ? '' : value.text
    const title = value === null ? `${name} (not stored)` : `${name} revision ${value.revision}`
    const differences = differencesOf({ name: title, text }, { name: args.file, text: checked.text }, outputPainter())
    if (args.json) console.log(JSON.stringify({ name, revision: value?.revision ?? 0, same: differences === '', differences }, null, 2))
    else console.log(differences === '' ? `"${name}" is the same` : differences)
    if (differences !== '') process.exitCode = ExitCode.Failed
  })
})
