import test from 'ava'
import type { ExecutionContext } from 'ava'
import { mkdtemp, readdir, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

import { configurationDocument } from '@bluebellhill/services'

import { runCommand } from './runCommand.js'
import type { CommandResult } from './runCommand.js'
import { startNode, startStore } from './standinStore.js'
import type { StandinStore } from './standinStore.js'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
const FLEET = 'kind: fleet\nmodels: [{name: m, versions: [{name: v1}], current: v1}]\n'

const openStore = async (t: ExecutionContext): Promise<{ store: StandinStore, run: (...args: string[]) => Promise<CommandResult>, write: (text: string) => Promise<string> }> => {
  const store = await startStore()
  t.teardown(() => store.stop())
  const folder = await mkdtemp(join(tmpdir(), 'bluebellhill-'))
  let files = 0
  return {
    store,
    run: async (...args) => await runCommand(args, { BLUEBELLHILL_PLATFORM: store.address }),
    write: async (text) => {
      files += 1
      const file = join(folder, `file-${files}.yaml`)
      await writeFile(file, text)
      return file
    }
  }
}

const yamlFilesIn = async (folder: string): Promise<string[]> => {
  const entries = await readdir(join(ROOT, folder), { recursive: true })
  return entries.filter((entry) => entry.endsWith('.yaml')).map((entry) => join(ROOT, folder, entry))
}

for (const [folder, models] of [['examples/tsagaan-mod', 'order-assistant'], ['examples/al-batinah', 'receipt-reader']] as const) {
  test(`${folder} is valid and has ten organisations`, async (t) => {
    const files = await yamlFilesIn(folder)
    t.is(files.filter((file) => file.includes('organisations')).length, 10)
    const { exitCode, output, errors } = await runCommand(['check', ...files])
    t.is(exitCode, 0, errors)
    t.is(output, '12 files in order\n')
    t.true((await readFile(join(ROOT, folder, 'fleet.yaml'), 'utf8')).includes(models))
  })
}

test('docs/CONFIGURATION.md equals the page generated from the schema', async (t) => {
  t.is(await readFile(join(ROOT, 'docs/CONFIGURATION.md'), 'utf8'), configurationDocument(), 'run "npx bluebellhill docs > docs/CONFIGURATION.md"')
})

test('check names file, line, field and what is allowed', async (t) => {
  const { write } = await openStore(t)
  const file = await write(FLEET.replace('current: v1', 'current: v9'))
  const { exitCode, errors } = await runCommand(['check', file])
  t.is(exitCode, 1)
  t.true(errors.startsWith(`${file}:2: models[0].current names the version "v9", which is not listed; allowed: one of v1\n`))
  const json = JSON.parse((await runCommand(['check', file, '--json'])).output) as { problems: unknown[] }
  t.like(json.problems[0], { file, line: 2, field: 'models[0].current' })
  t.is((await runCommand(['check', join(ROOT, 'no-such-file')])).exitCode, 1)
})

test('apply, get, diff, history and remove read and change the stored configuration', async (t) => {
  const { run, write } = await openStore(t)
  const organisation = await write('kind: organisation\nname: bayangol\nkeys: []\ntemplates: []\n')
  t.regex((await run('apply', organisation)).errors, /apply the file of the fleet first/)
  t.is((await run('apply', await write(FLEET), '--author', 'Oyuna')).exitCode, 0)
  t.is((await run('apply', organisation)).exitCode, 0)
  t.is((await run('get', 'fleet')).output, FLEET)
  t.regex((await run('get')).output, /organisation\/bayangol/)
  const changed = await write(`${FLEET}services: [{name: s}]\n`)
  const differences = await run('diff', changed)
  t.is(differences.exitCode, 1)
  t.regex(differences.output, /\+services: \[\{name: s\}\]/)
  t.is((await run('apply', changed, '--author', 'Bat')).exitCode, 0)
  t.regex((await run('apply', changed)).output, /is the same already/)
  const edits = JSON.parse((await run('history', 'fleet', '--json')).output) as Array<{ author: string }>
  t.deepEqual(edits.map(({ author }) => author), ['Bat', 'Oyuna'])
  t.is((await run('remove', 'bayangol')).exitCode, 0)
  t.regex((await run('get')).output, /organisation\/bayangol.*removed/)
})

test('an edit that refers to a name missing in the fleet file is rejected', async (t) => {
  const { run, write } = await openStore(t)
  await run('apply', await write(FLEET))
  const template = 'templates: [{name: t, request: {shape: chat}, model: other, idempotent: true}]'
  const { exitCode, errors } = await run('apply', await write(`kind: organisation\nname: bayangol\nkeys: []\n${template}\n`))
  t.is(exitCode, 1)
  t.regex(errors, /templates\[0\]\.model names "other".*allowed: one of m/)
})

test('of concurrent edits of the same revision one is written and the others fail with its author and the differences', async (t) => {
  const { run, write } = await openStore(t)
  const files = await Promise.all([1, 2, 3, 4].map(async (index) => await write(FLEET.replace('name: m', `name: m${index}`))))
  const results = await Promise.all(files.map(async (file, index) => await run('apply', file, '--expect', '0', '--author', `operator-${index}`)))
  const winners = results.flatMap(({ exitCode }, index) => exitCode === 0 ? [index] : [])
  t.is(winners.length, 1)
  for (const { exitCode, errors } of results.filter((result) => result.exitCode !== 0)) {
    t.is(exitCode, 1)
    t.regex(errors, new RegExp(`by operator-${winners[0]!} at`))
    t.regex(errors, new RegExp(`-models: \\[\\{name: m${winners[0]! + 1}`))
    t.regex(errors, /apply with --expect \d+/)
  }
})

test('an edit whose answers are lost is retried and written once', async (t) => {
  const { store, run, write } = await openStore(t)
  const file = await write(FLEET)
  await store.setFaults({ loseAnswers: 3 })
  const { exitCode, output, errors } = await run('apply', file, '--json')
  t.is(exitCode, 0, errors)
  t.like(JSON.parse(output), { changed: true })
  t.is((JSON.parse((await run('history', 'fleet', '--json')).output) as unknown[]).length, 1)
})

test('apply --wait waits for the nodes and names those with an older revision', async (t) => {
  const { run, write } = await openStore(t)
  const nodes = await Promise.all(['a', 'b'].map(startNode))
  t.teardown(() => nodes.forEach((node) => node.stop()))
  const addresses = nodes.map(({ address }) => address).join(',')
  nodes[0]!.revisions = { fleet: 9_000_000_000 }
  const behind = await run('apply', await write(FLEET), '--wait', '--nodes', addresses, '--timeout', '1s')
  t.is(behind.exitCode, 1)
  t.regex(behind.errors, /revision 9000000001 of "fleet" is accepted, and in force on 0 of 2 nodes/)
  for (const node of nodes) node.revisions = { fleet: 9_000_000_001 }
  const force = await run('apply', await write(FLEET), '--wait', '--nodes', addresses)
  t.regex(force.output, /in force on all 2 nodes after \d+ ms/)
})

test('every error names what to do next', async (t) => {
  const { store, run, write } = await openStore(t)
  const file = await write(FLEET)
  const results = [
    await runCommand(['apply', file]),
    await runCommand(['get', '--platform', 'localhost:1']),
    await runCommand(['get', '--platform', '127.0.0.1:1']),
    await run('get', 'nobody'),
    await run('apply', file, '--expect', 'seven'),
    await run('apply', file, '--expect', '7'),
    await run('apply', file, '--wait'),
    await run('remove', 'fleet')
  ]
  await store.setFaults({ unavailable: true })
  results.push(await run('get', 'fleet'))
  t.deepEqual(results.map(({ exitCode }) => exitCode), [2, 2, 3, 1, 2, 1, 2, 2, 3])
  for (const { errors } of results) t.regex(errors, /^error: .+\n next: .+\n$/s)
})
