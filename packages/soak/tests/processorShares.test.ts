import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { ProcessorShares } from '../src/ProcessorShares.js'

/** @returns the state of a process, `T` if it is paused */
const stateOf = (pid: number): string => readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.charAt(0) ?? ''

test.serial('a process with a share is paused in between, and runs freely afterwards', async (t) => {
  const child = spawn(process.execPath, ['-e', 'for (;;);'], { stdio: 'ignore' })
  t.teardown(() => child.kill('SIGKILL'))
  const pid = child.pid ?? 0
  const shares = new ProcessorShares([{ pid }], 0.3)
  const states = new Set<string>()
  const until = performance.now() + 5_000
  while (!(states.has('T') && states.has('R')) && performance.now() < until) {
    await sleep(3)
    states.add(stateOf(pid))
  }
  shares.dispose()
  t.true(states.has('T'))
  t.true(states.has('R'))
  t.not(stateOf(pid), 'T')
})
