import { execFileSync } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, readSync, rmSync } from 'node:fs'
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

/** More than a pipe holds. */
const UNREAD_BYTES = 200_000

// Guards against a stopped process that never ends, because nobody reads its log.
test('a process that ends does not wait for ever for a reader of its output', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'output-'))
  const pipe = join(folder, 'pipe')
  execFileSync('mkfifo', [pipe])
  const descriptor = openSync(pipe, 'r+')
  const output = new BoundedOutput(descriptor)
  output.log({ message: 'x'.repeat(UNREAD_BYTES - 1) }, () => {})
  const limit = new Promise((resolve) => setTimeout(resolve, 5_000, 'waits'))
  const result = await Promise.race([output.flush().then(() => 'ended'), limit])
  for (let unread = UNREAD_BYTES; unread > 0;) unread -= readSync(descriptor, Buffer.alloc(unread))
  await output.flush()
  closeSync(descriptor)
  rmSync(folder, { recursive: true })
  t.is(result, 'ended')
})
