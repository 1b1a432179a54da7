import { defineCommand } from 'citty'
import { checkReferences, ConfigurationKind, formatProblem, parseConfiguration, valueNameOfFile } from '@bluebellhill/services'
import type { ConfigurationFile, ConfigurationStore, Fleet, Organisation } from '@bluebellhill/services'

import { valueOrThrow, checkFile, EDIT_ARGS, makeEdit, PLATFORM_ARGS, showEdit, withStore } from '../configuration/index.js'
import { ActionError, ExitCode, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'apply',
  description: 'Store a configuration file, so that nodes put it in force',
  examples: [
    'bluebellhill apply fleet.yaml --platform 10.0.0.1:2379',
    'bluebellhill apply bayangol.yaml --wait --nodes 10.0.0.1:7401,10.0.0.2:7401',
    'bluebellhill apply bayangol.yaml --expect 1796330000'
  ],
  notes: ['Of several concurrent edits exactly one wins each revision; for the others the command prints whose edit won and what differs.']
}

/** Returns the file and all other stored files that are valid and not removed, so that references can be checked before the edit. */
const withStoredFiles = async (store: ConfigurationStore, file: ConfigurationFile): Promise<ConfigurationFile[]> => {
  const { values } = valueOrThrow(await store.readAll())
  const others = values.flatMap(({ name, value }) => {
    if (value === null || value.removed || name === valueNameOfFile(file)) return []
    const parsed = parseConfiguration(value.text, name)
    return parsed.ok ? [parsed.value] : []
  })
  return [...others, file]
}

const checkReferencedNames = async (store: ConfigurationStore, file: ConfigurationFile): Promise<void> => {
  const files = await withStoredFiles(store, file)
  const fleet = files.find((other): other is Fleet => other.kind === ConfigurationKind.Fleet)
  if (fleet === undefined) throw new ActionError(ExitCode.Failed, 'nothing was written: the configuration of the fleet is not stored yet', 'apply the file of the fleet first')
  const organisations = files.filter((other): other is Organisation => other.kind === ConfigurationKind.Organisation)
  const problems = checkReferences(fleet, organisations)
    .filter(({ organisation }) => file.kind === ConfigurationKind.Fleet || organisation === file.name)
  if (problems.length === 0) return
  const lines = problems.map(({ organisation, field, message, allowed }) => `organisation ${organisation}: ${field} ${message}; allowed: ${allowed}`)
  throw new ActionError(ExitCode.Failed, `nothing was written:\n${lines.join('\n')}`, 'apply the fleet\'s file with these names first, or remove them from the organisations')
}

/** Stores one configuration file, after checking it and its references. */
export const apply = defineCommand({
  meta: META,
  args: {
    file: { type: 'positional', required: true, description: 'a file of the fleet or of an organisation' },
    ...PLATFORM_ARGS,
    ...EDIT_ARGS
  },
  run: ({ args }) => runAction(args, async () => {
    if (args._.length > 1) throw new ActionError(ExitCode.Usage, 'one file is applied at a time', 'apply the fleet\'s file first, then each organisation')
    const checked = await checkFile(args.file)
    if (checked.type === 'wrong') throw new ActionError(ExitCode.Failed, checked.problems.map(formatProblem).join('\n'), 'correct the file; nothing was written')
    if (checked.type === 'settings') throw new ActionError(ExitCode.Failed, `${args.file} holds the settings of a node`, 'give it to bluebellhilld; apply takes files with "kind: fleet" or "kind: organisation"')
    await withStore(args, async (store) => {
      await checkReferencedNames(store, checked.value)
      showEdit(await makeEdit(store, valueNameOfFile(checked.value), checked.text, args), args.json)
    })
  })
})
