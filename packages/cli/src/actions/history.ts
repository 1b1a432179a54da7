import { defineCommand } from 'citty'
import type { EditRecord } from '@bluebellhill/services'

import { PLATFORM_ARGS, readValue, valueNameOfText, withStore } from '../configuration/index.js'
import { formatTime, outputPainter, runAction, tableOf } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'history',
  description: 'List the last edits of a value, the newest first',
  examples: ['bluebellhill history fleet --platform 10.0.0.1:2379', 'bluebellhill history bayangol --json']
}

/** Lists the recorded edits of a configuration value. */
export const history = defineCommand({
  meta: META,
  args: {
    name: { type: 'positional', required: true, description: '"fleet" or an organisation' },
    ...PLATFORM_ARGS,
    json: { type: 'boolean', description: 'write JSON', default: false }
  },
  run: ({ args }) => runAction(args, async () => {
    const value = await withStore(args, async (store) => await readValue(store, valueNameOfText(args.name)))
    const { revision, edit, author, editedAt } = value
    const records: EditRecord[] = [{ revision, edit, author, editedAt }, ...value.history]
    if (args.json) return console.log(JSON.stringify(records, null, 2))
    const rows = records.map((record) => [String(record.revision), formatTime(record.editedAt), record.author, record.edit])
    console.log(tableOf(['REVISION', 'EDITED', 'BY', 'EDIT'], rows, outputPainter()))
  })
})
