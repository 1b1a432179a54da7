import { defineCommand } from 'citty'
import type { ConfigurationStore, StoredValue } from '@bluebellhill/services'

import { valueOrThrow, PLATFORM_ARGS, readValue, valueNameOfText, withStore } from '../configuration/index.js'
import { formatTime, outputPainter, runAction, tableOf } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'get',
  description: 'Show the stored configuration',
  examples: ['bluebellhill get --platform 10.0.0.1:2379', 'bluebellhill get fleet > fleet.yaml', 'bluebellhill get bayangol --json']
}

const rowOf = ({ name, value }: StoredValue): string[] => {
  if (value === null) return [name, '-', '-', '-', 'not readable']
  return [name, String(value.revision), formatTime(value.editedAt), value.author, value.removed ? 'removed' : 'stored']
}

const showAll = async (store: ConfigurationStore, asJson: boolean): Promise<void> => {
  const { values } = valueOrThrow(await store.readAll())
  if (asJson) console.log(JSON.stringify(values, null, 2))
  else console.log(tableOf(['NAME', 'REVISION', 'EDITED', 'BY', 'STATE'], values.map(rowOf), outputPainter()))
}

const showOne = async (store: ConfigurationStore, name: string, asJson: boolean): Promise<void> => {
  const value = await readValue(store, name)
  if (asJson) return console.log(JSON.stringify(value, null, 2))
  if (value.removed) process.stderr.write(`warning: "${name}" was removed at revision ${value.revision}\n`)
  process.stdout.write(value.text)
}

/** Prints one stored configuration value, or lists all. */
export const get = defineCommand({
  meta: META,
  args: {
    name: { type: 'positional', required: false, description: '"fleet" or an organisation; lists all if omitted' },
    ...PLATFORM_ARGS,
    json: { type: 'boolean', description: 'write JSON', default: false }
  },
  run: ({ args }) => runAction(args, async () => {
    const { name } = args
    await withStore(args, async (store) => name === undefined ? await showAll(store, args.json) : await showOne(store, valueNameOfText(name), args.json))
  })
})
