import test from 'ava'
import fc from 'fast-check'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { KeyState, MAX_ANSWER_LENGTH, OutcomeKind, Ran } from '@bluebellhill/domain'
import type { NodeId, OrganisationId } from '@bluebellhill/domain'

import { monotonicNow } from '../src/clock/monotonic.js'
import { IdempotencyService } from '../src/idempotency/index.js'
import { decodeRecord } from '../src/idempotency/keyRecord.js'
import { FakeKeyValue } from './fakeKeyValue.js'

const ORGANISATION = 'bayangol' as OrganisationId
const doneWith = (answer: string) => ({ type: 'done' as const, outcome: { kind: OutcomeKind.Answered, ran: Ran.Yes, answer } })

const openService = (keyValue: FakeKeyValue, index: number): IdempotencyService => new IdempotencyService({
  node: `node-${index}` as NodeId,
  keyValue,
  rng: xoroshiro128plus(index),
  retention: 3_600_000,
  clock: monotonicNow,
  wallClock: Date.now,
  report: () => {}
})

const request = (key: string, body = 'order', organisation = ORGANISATION) => ({ organisation, key, body, timeLimit: 30_000 })

test('one of two nodes gets the key and the other replays the answer', async (t) => {
  const keyValue = new FakeKeyValue()
  const services = [openService(keyValue, 1), openService(keyValue, 2)] as const
  t.teardown(() => services.forEach((service) => service.dispose()))
  const results = await Promise.all(services.map(async (service) => await service.claim(request('k'))))
  t.deepEqual(results.map(({ type }) => type).sort(), ['claimed', 'in_progress'])
  const winner = results.findIndex(({ type }) => type === 'claimed')
  const won = results[winner]!
  if (won.type === 'claimed') services[winner]!.conclude(won.claim, doneWith('twelve bags'))
  t.true(await services[winner]!.waitUntilConcluded(10_000))
  t.like(await services[1 - winner]!.claim(request('k')), { type: 'replay', outcome: { answer: 'twelve bags' } })
  t.is((await services[1 - winner]!.claim(request('k', 'another order'))).type, 'conflict')
  t.is((await services[1 - winner]!.claim(request('k', 'order', 'khan-uul' as OrganisationId))).type, 'claimed')
})

test('a claim whose response is lost is recognised by its token', async (t) => {
  const keyValue = new FakeKeyValue()
  const service = openService(keyValue, 1)
  t.teardown(() => service.dispose())
  keyValue.lostAnswers = 1
  t.is((await service.claim(request('k'))).type, 'claimed')
})

test('claims fail while the store is unavailable and succeed after it is available again', async (t) => {
  const keyValue = new FakeKeyValue()
  const service = openService(keyValue, 1)
  t.teardown(() => service.dispose())
  keyValue.goDown()
  t.like(await service.claim(request('a')), { type: 'unavailable' })
  t.like(await service.claim(request('b')), { type: 'unavailable' })
  keyValue.isDown = false
  let type = 'unavailable'
  for (const end = Date.now() + 30_000; type === 'unavailable' && Date.now() < end;) {
    type = (await service.claim(request('c'))).type
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  t.is(type, 'claimed')
})

test('a request that did not run releases its key', async (t) => {
  const keyValue = new FakeKeyValue()
  const service = openService(keyValue, 1)
  t.teardown(() => service.dispose())
  const first = await service.claim(request('k'))
  if (first.type === 'claimed') service.conclude(first.claim, { type: 'not_run' })
  t.is((await service.claim(request('k'))).type, 'claimed')
})

test('a large answer is recorded without its text', async (t) => {
  const keyValue = new FakeKeyValue()
  const service = openService(keyValue, 1)
  t.teardown(() => service.dispose())
  const first = await service.claim(request('k'))
  if (first.type === 'claimed') service.conclude(first.claim, doneWith('x'.repeat(MAX_ANSWER_LENGTH + 1)))
  t.like(await service.claim(request('k')), { type: 'replay', outcome: { answer: null } })
})

test('bytes that are not a valid record decode to a claim with an unknown outcome', (t) => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    const record = decodeRecord(Buffer.from(bytes))
    return record.state === KeyState.Unknown && record.body === null
  }), { seed: 45, numRuns: 1_000 })
  t.is(decodeRecord(Buffer.from('{"token":"t","state":"done"}')).state, KeyState.Unknown)
})
