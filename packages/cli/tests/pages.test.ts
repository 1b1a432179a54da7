import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

import test from 'ava'
import { EventKind, findCode } from '@bluebellhill/protocol'

import { ACTIONS } from '../src/actions/index.js'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))

const pagesIn = (folder: string): string[] => readdirSync(join(ROOT, folder), { recursive: true, withFileTypes: true })
  .filter((entry) => entry.isFile() && entry.name.endsWith('.md'))
  .map((entry) => join(entry.parentPath, entry.name))

const PAGES = [...pagesIn('docs'), ...pagesIn('examples'), ...['README.md', 'CONTRIBUTING.md', 'CHANGELOG.md'].map((name) => join(ROOT, name))]

const textOf = (page: string): string => readFileSync(page, 'utf8')

const linksOf = (text: string): string[] => [...text.matchAll(/\]\(([^)#\s]+)(?:#[^)]*)?\)/g)].map((match) => match[1]!)

test('every relative link in the documentation leads to a file', (t) => {
  const broken = PAGES.flatMap((page) => linksOf(textOf(page))
    .filter((link) => !/^[a-z]+:/.test(link) && !existsSync(join(dirname(page), link)))
    .map((link) => `${page.slice(ROOT.length)}: ${link}`))
  t.true(PAGES.length > 5)
  t.deepEqual(broken, [])
})

test('every action and event kind that the documentation names exists', (t) => {
  const kinds = new Set<string>(Object.values(EventKind))
  for (const page of PAGES) {
    const text = textOf(page)
    const actions = [...text.matchAll(/(?:^|[`"( ])bluebellhill ([a-z]+)(?=[ `"\n])/g)].map((match) => match[1]!)
    const commands = text.split('\n').filter((line) => /^(bluebellhill|npx bluebellhill) |`bluebellhill /.test(line))
    const named = commands.flatMap((line) => [...line.matchAll(/bluebellhill ([a-z]+)/g)].map((match) => match[1]!))
    for (const action of named.filter((word) => actions.includes(word))) t.true(Object.hasOwn(ACTIONS, action), `${page}: ${action}`)
    for (const [, list] of text.matchAll(/--kind\s+([a-z_,]+)/g)) {
      for (const kind of list!.split(',')) t.true(kinds.has(kind), `${page}: ${kind}`)
    }
  }
})

test('every result code in the operators\' page exists', (t) => {
  const text = textOf(join(ROOT, 'docs/OPERATIONS.md'))
  const numbers = [...text.matchAll(/\b(1[1-5]0\d)\b/g)].map((match) => match[1]!)
  t.true(numbers.length > 5)
  for (const number of numbers) t.truthy(findCode(number), number)
})
