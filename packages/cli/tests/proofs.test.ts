/** Checks that the tests, files and commands that docs/PROOFS.md names exist. */
import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

import test from 'ava'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
const DOCS = join(ROOT, 'docs')
const CELLS = 6
const STATUS = /^(proved \((aggregate|services|sockets|real processes)\)|partial: .+|not proved)$/
const REFERENCE = /`([^`]+)` in \[[^\]]+\]\(([^)]+)\)/g
const COUNTERPART = /counterparts? (`[^`]+`(?: and `[^`]+`)*)/g
const COMMAND = /^`npx ava packages\/([a-z]+)\/dist\/tests\/([A-Za-z]+\.test)\.js`$/
const BENCH = /^`npm run bench -- [a-z-]+ --seed \d+`$/
const DECLARATION = /^ *test(?:\.serial)?\((?:'((?:[^'\\]|\\.)*)'|`((?:[^`\\]|\\.)*)`),/gm

interface Reference { readonly name: string, readonly file: string }

interface Row {
  readonly number: string
  readonly tests: string
  readonly references: readonly Reference[]
  readonly counterparts: readonly string[]
  readonly command: string
  readonly status: string
  readonly cells: number
}

const rowOf = (line: string): Row => {
  const cells = line.split('|').slice(1, -1).map((cell) => cell.trim())
  const [number = '', , tests = '', without = '', command = '', status = ''] = cells
  const references = [...tests.matchAll(REFERENCE)].map(([, name, file]) => ({ name: name!, file: join(DOCS, file!) }))
  const counterparts = [...without.matchAll(COUNTERPART)].flatMap(([, names]) => [...names!.matchAll(/`([^`]+)`/g)].map(([, name]) => name!))
  return { number, tests, references, counterparts, command, status, cells: cells.length }
}

/** Returns the table rows of the sections on promises and faults, without the header and separator rows. */
const rowsOf = (page: string): Row[] => page.slice(page.indexOf('## Promises'), page.indexOf('## What is not proved')).split('\n')
  .filter((line) => line.startsWith('|') && !line.startsWith('| no.') && !line.startsWith('|---'))
  .map(rowOf)

/** Returns patterns for the test titles in a source file; a placeholder in a template literal matches any text. */
const declaredIn = (source: string): RegExp[] => [...source.matchAll(DECLARATION)].map(([, plain, template]) => {
  const literals = plain !== undefined ? [plain] : template!.split(/\$\{[^}]*\}/)
  const escaped = literals.map((literal) => literal.replace(/\\(.)/g, '$1').replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
  return new RegExp(`^${escaped.join('.+')}$`)
})

const isDeclared = (name: string, file: string): boolean =>
  existsSync(file) && declaredIn(readFileSync(file, 'utf8')).some((pattern) => pattern.test(name))

const runsOneOf = (command: string, references: readonly Reference[]): boolean => {
  const [, folder, file] = COMMAND.exec(command) ?? []
  return references.some((reference) => reference.file === join(ROOT, 'packages', `${folder}`, 'tests', `${file}.ts`))
}

const namesOf = (row: Row): Reference[] => [
  ...row.references,
  ...row.counterparts.map((name) => ({ name, file: row.references[0]?.file ?? '' }))
]

const problemsOf = (row: Row): string[] => {
  const problems: string[] = []
  if (row.cells !== CELLS) problems.push(`${row.cells} cells`)
  if (!STATUS.test(row.status)) problems.push(`status "${row.status}"`)
  if (row.tests.split('<br>').length !== Math.max(1, row.references.length)) problems.push('a test without its file')
  if (row.references.length === 0 && row.status.startsWith('proved')) problems.push('proved without a test')
  const isNamed = row.references.length > 0 ? runsOneOf(row.command, row.references) : BENCH.test(row.command) || row.status === 'not proved'
  if (!isNamed) problems.push(`command ${row.command}`)
  for (const { name, file } of namesOf(row)) {
    if (!isDeclared(name, file)) problems.push(`no test "${name}" in ${file.slice(ROOT.length)}`)
  }
  return problems.map((problem) => `${row.number}: ${problem}`)
}

const ROWS = rowsOf(readFileSync(join(DOCS, 'PROOFS.md'), 'utf8'))

test('every test that the page of proofs names exists, and every row has a status', (t) => {
  t.true(ROWS.length > 30)
  t.deepEqual(ROWS.flatMap(problemsOf), [])
})

test('the rows of proofs are numbered once each, without a gap in the promises and faults', (t) => {
  const numbers = ROWS.map(({ number }) => number)
  t.deepEqual([...new Set(numbers)], numbers)
  const groups = [...new Set(numbers.map((number) => Number(number.split('.')[0])))]
  t.deepEqual(groups, groups.map((_, index) => index + 1))
})

test('a row with a wrong test name, file, command or status is reported', (t) => {
  const row = (name: string, file: string, command: string, status: string): string[] =>
    problemsOf(rowOf(`| 1.1 | p | \`${name}\` in [f](../packages/cli/tests/${file}.ts) | - | \`npx ava packages/cli/dist/tests/${command}.js\` | ${status} |`))
  const name = 'the page needs no script and no other file'
  t.deepEqual(row(name, 'page.test', 'page.test', 'proved (aggregate)'), [])
  t.is(row('the page needs no script', 'page.test', 'page.test', 'proved (aggregate)').length, 1)
  t.is(row(name, 'explain.test', 'explain.test', 'proved (aggregate)').length, 1)
  t.is(row(name, 'page.test', 'pages.test', 'proved (aggregate)').length, 1)
  t.is(row(name, 'page.test', 'page.test', '').length, 1)
  t.is(row(name, 'page.test', 'page.test', 'partial').length, 1)
})
