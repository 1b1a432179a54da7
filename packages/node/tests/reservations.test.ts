import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { Readiness } from '@bluebellhill/domain'
import type { FailureDomain, HolderReservation, RunnerId } from '@bluebellhill/domain'
import { EngineMemoryClient } from '@bluebellhill/platform'
import { failed, HttpPool, success } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import { MemoryReservations, RESERVATION_TTL } from '../src/forward/MemoryReservations.js'
import { silentLog } from './forwardFixture.js'

const FULL: CallFailure = { type: 'rejected', status: 409, code: 'full', retryAfter: null, reason: 'full' }

/** Records the reservations of engines; some engines are full, some answer late. */
class RecordingMemory extends EngineMemoryClient {
  readonly held = new Map<string, number>()
  reserveCalls = 0

  constructor (private readonly fullEngines: ReadonlySet<string> = new Set(), private readonly delay = 0) {
    super(new HttpPool(1), 1)
  }

  override async reserve (address: string, _: string, tokens: number): Promise<Result<unknown, CallFailure>> {
    await sleep(this.delay)
    if (this.fullEngines.has(address)) return failed(FULL)
    this.reserveCalls += 1
    this.held.set(address, tokens)
    return success(null)
  }

  override async release (address: string): Promise<Result<unknown, CallFailure>> {
    this.held.delete(address)
    return success(null)
  }
}

const holder = (id: string): HolderReservation => ({
  tokens: 100,
  server: { id: id as RunnerId, service: 's', address: id, failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: null }
})
const HOLDERS = [holder('e1'), holder('e2')]

test('memory stays reserved until it is released', async (t) => {
  const memory = new RecordingMemory()
  const reservations = new MemoryReservations('r', HOLDERS, memory, silentLog())
  t.true(await reservations.acquire())
  t.is(memory.held.size, 2)
  await sleep(1_200)
  t.true(memory.reserveCalls >= 4)
  reservations.release()
  await sleep(10)
  t.is(memory.held.size, 0)
})

test('if one engine is full, no memory stays reserved', async (t) => {
  const memory = new RecordingMemory(new Set(['e2']))
  t.false(await new MemoryReservations('r', HOLDERS, memory, silentLog()).acquire())
  await sleep(10)
  t.is(memory.held.size, 0)
})

test('a reservation that is made after the release is released too', async (t) => {
  const memory = new RecordingMemory(new Set(), 50)
  const reservations = new MemoryReservations('r', HOLDERS, memory, silentLog())
  const acquired = reservations.acquire()
  reservations.release()
  t.false(await acquired)
  await sleep(10)
  t.is(memory.held.size, 0)
})

// Guards against a prompt that is sent although the memory reserved for it has expired while this process was held up.
test('reservations that may have expired before their answers were read are not used', async (t) => {
  let now = 0
  const memory = new RecordingMemory(new Set(), 10)
  const reservations = new MemoryReservations('r', HOLDERS, memory, silentLog(), () => now)
  const acquired = reservations.acquire()
  now = RESERVATION_TTL
  t.false(await acquired)
  await sleep(10)
  t.is(memory.held.size, 0)
})
