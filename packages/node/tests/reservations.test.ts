import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { Readiness } from '@bluebellhill/domain'
import type { FailureDomain, HolderReservation, RunnerId } from '@bluebellhill/domain'
import { EngineMemoryClient } from '@bluebellhill/platform'
import { failed, HttpPool, success } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import { Reservations } from '../src/forward/Reservations.js'
import { silentLog } from './forwardFixture.js'

const FULL: CallFailure = { type: 'rejected', status: 409, code: 'full', retryAfter: null, reason: 'full' }

/** Engines that remember what is reserved; some are full, some answer late. */
class RememberedMemory extends EngineMemoryClient {
  readonly held = new Map<string, number>()
  reserved = 0

  constructor (private readonly full: ReadonlySet<string> = new Set(), private readonly delay = 0) {
    super(new HttpPool(1), 1)
  }

  override async reserve (address: string, _: string, tokens: number): Promise<Result<unknown, CallFailure>> {
    await sleep(this.delay)
    if (this.full.has(address)) return failed(FULL)
    this.reserved += 1
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

test('memory is held until the end, and given back', async (t) => {
  const memory = new RememberedMemory()
  const reservations = new Reservations('r', HOLDERS, memory, silentLog())
  t.true(await reservations.take())
  t.is(memory.held.size, 2)
  await sleep(1_200)
  t.true(memory.reserved >= 4)
  reservations.end()
  await sleep(10)
  t.is(memory.held.size, 0)
})

test('where one engine is full, nothing stays reserved', async (t) => {
  const memory = new RememberedMemory(new Set(['e2']))
  t.false(await new Reservations('r', HOLDERS, memory, silentLog()).take())
  await sleep(10)
  t.is(memory.held.size, 0)
})

test('an order that is carried out after the end holds nothing', async (t) => {
  const memory = new RememberedMemory(new Set(), 50)
  const reservations = new Reservations('r', HOLDERS, memory, silentLog())
  const taken = reservations.take()
  reservations.end()
  t.false(await taken)
  await sleep(10)
  t.is(memory.held.size, 0)
})
