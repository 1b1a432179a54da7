import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { MetadataStore, StoreKey } from '@bluebellhill/platform'
import type { StorePage } from '@bluebellhill/platform'
import { StoreStandin } from '@bluebellhill/platform-standin'
import { HttpPool } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import { ProcessorShares } from '../src/ProcessorShares.js'

const HOST = '127.0.76.1'
const LIMITED_STORE_PORT = 8_068
const SLOW_STORE_PORT = 8_069

const CALL_TIMEOUT_MS = 1_000
const TOO_MANY_CALLS = 429

const listAt = async (port: number): Promise<Result<StorePage, CallFailure>> =>
  await new MetadataStore({ address: `${HOST}:${port}`, http: new HttpPool(1), timeout: CALL_TIMEOUT_MS }).range(StoreKey.Operator, '')

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

test.serial('the store refuses the calls of a second beyond its limits, and counts them', async (t) => {
  const store = new StoreStandin()
  await store.start(HOST, LIMITED_STORE_PORT)
  t.teardown(() => store.dispose())
  store.limits = { reads: 0, writes: 1 }
  t.like(await listAt(LIMITED_STORE_PORT), { ok: false, failure: { type: 'rejected', status: TOO_MANY_CALLS } })
  store.limits = null
  t.true((await listAt(LIMITED_STORE_PORT)).ok)
  t.deepEqual(store.calls, { reads: 2, writes: 0, refused: 1 })
})

test.serial('the store executes a call after its latency', async (t) => {
  const store = new StoreStandin()
  await store.start(HOST, SLOW_STORE_PORT)
  t.teardown(() => store.dispose())
  store.latencyMs = 80
  const from = performance.now()
  await listAt(SLOW_STORE_PORT)
  t.true(performance.now() - from >= store.latencyMs - 1)
})
