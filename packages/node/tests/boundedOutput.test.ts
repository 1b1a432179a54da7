import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { BoundedOutput } from '../src/log/index.js'

const writeLines = async (t: ExecutionContext, limit: number, lines: readonly string[]): Promise<{ text: string, dropped: number }> => {
  const folder = mkdtempSync(join(tmpdir(), 'output-'))
  const file = join(folder, 'log')
  const descriptor = openSync(file, 'w')
  t.teardown(() => { closeSync(descriptor); rmSync(folder, { recursive: true }) })
  const output = new BoundedOutput(descriptor, limit)
  for (const message of lines) output.log({ message }, () => {})
  await output.flush()
  return { text: readFileSync(file, 'utf8'), dropped: output.dropped }
}

test('lines are written in order', async (t) => {
  t.deepEqual(await writeLines(t, 1_000, ['one', 'two']), { text: 'one\ntwo\n', dropped: 0 })
})

test('lines that exceed the queue limit are dropped, counted and reported', async (t) => {
  const { text, dropped } = await writeLines(t, 10, ['12345678', 'x'.repeat(20), 'y'.repeat(20)])
  t.is(dropped, 2)
  t.is(text, '12345678\nevent=log.lines_dropped lines=2 cause=output_full\n')
})
