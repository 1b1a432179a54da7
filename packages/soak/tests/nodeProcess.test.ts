import { existsSync, mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { NodeProcess } from '../src/NodeProcess.js'

const GRACE_MS = 60_000

/** A process that handles SIGTERM with the given code. Returns it and a function that starts it and waits until it does. */
const createProcess = (t: ExecutionContext, name: string, onTerm: string): { node: NodeProcess, start: () => Promise<void> } => {
  const directory = resolve(`out/soak/process-${process.pid}-${name}`)
  const program = resolve(directory, 'program.cjs')
  const ready = resolve(directory, 'ready')
  mkdirSync(directory, { recursive: true })
  writeFileSync(program, `process.on('SIGTERM', () => { ${onTerm} })\nrequire('node:fs').writeFileSync(process.env.READY, '')\nsetInterval(() => {}, 1_000)\n`)
  const node = new NodeProcess('node-0', program, { READY: ready }, '/dev/null')
  t.teardown(async () => {
    await node.dispose()
    rmSync(directory, { recursive: true })
  })
  const start = async (): Promise<void> => {
    rmSync(ready, { force: true })
    node.start()
    while (!existsSync(ready)) await sleep(10)
  }
  return { node, start }
}

// Guards against 'processes end only when asked to' for a node that a kill, the next fault, ended while it was stopping.
test('a process that is killed while it stops ends as asked', async (t) => {
  const { node, start } = createProcess(t, 'killed', '')
  await start()
  const stopped = node.stop(GRACE_MS)
  await node.kill()
  await stopped
  t.deepEqual(node.unexpectedEnds, [])
})

test('a process that stops with an error ends unexpectedly, also if an earlier one was killed', async (t) => {
  const { node, start } = createProcess(t, 'error', 'process.exit(3)')
  await start()
  await node.kill()
  await start()
  await node.stop(GRACE_MS)
  t.deepEqual(node.unexpectedEnds, ['node-0 stopped with code 3'])
})

test('a process that does not stop in time ends unexpectedly', async (t) => {
  const { node, start } = createProcess(t, 'late', '')
  await start()
  await node.stop(100)
  t.is(node.unexpectedEnds[0], 'node-0 did not stop within 100 ms')
})
