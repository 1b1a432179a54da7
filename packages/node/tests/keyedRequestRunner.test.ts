import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { HybridClock } from '@bluebellhill/protocol'
import { OutcomeKind, Ran } from '@bluebellhill/domain'
import type { NodeId, OrganisationId, Outcome, RequestSpec } from '@bluebellhill/domain'

import type { CallFailure, Result, Transaction, TransactionResponse } from '@bluebellhill/services'

import { monotonicNow } from '../src/clock/monotonic.js'
import { IdempotencyService } from '../src/idempotency/index.js'
import { ReplayableAnswer } from '../src/requests/Answer.js'
import { KeyedRequestRunner } from '../src/requests/KeyedRequestRunner.js'
import { TimeLine } from '../src/timeline/index.js'
import { FakeKeyValue } from './fakeKeyValue.js'

const ORGANISATION = 'bayangol' as OrganisationId
const REFUSAL: Outcome = { kind: OutcomeKind.NoRunner, ran: Ran.No, detail: 'no backend server' }

/** Calls a function when the answer fails, at the moment at which the caller would read the failure. */
class FailingAnswer extends ReplayableAnswer {
  constructor (private readonly onFail: (outcome: Outcome) => void) { super() }

  writeText (): boolean { return true }
  async drained (): Promise<void> {}
  end (): void {}
  fail (outcome: Outcome): void { this.onFail(outcome) }
  recorded (): string | null { return null }
  replay (): void {}
}

/** A store that executes deletions late, as a busy store does. */
class LateDeletions extends FakeKeyValue {
  override async transact (transaction: Transaction): Promise<Result<TransactionResponse, CallFailure>> {
    if (transaction.success.some(({ type }) => type === 'delete')) await sleep(DELETION_DELAY_MS)
    return await super.transact(transaction)
  }
}

const DELETION_DELAY_MS = 100

const openService = (keyValue: FakeKeyValue, index: number): IdempotencyService => new IdempotencyService({
  node: `node-${index}` as NodeId, keyValue, rng: xoroshiro128plus(index), retention: 3_600_000, clock: monotonicNow, wallClock: Date.now, report: () => {}
})

const spec = (): RequestSpec => ({ id: 'r', organisation: ORGANISATION, deadline: monotonicNow() + 30_000 }) as unknown as RequestSpec

/** Runs a request that is refused, and resolves when its caller has the refusal. */
const runRefused = async (service: IdempotencyService): Promise<Outcome> => await new Promise((resolve) => {
  const runner = new KeyedRequestRunner(service, new TimeLine('node-1' as NodeId, new HybridClock(Date.now)))
  const answer = new FailingAnswer(resolve)
  void runner.run({ spec: spec(), key: 'k', identity: Buffer.from('order'), answer, run: async (receiver) => { receiver.fail(REFUSAL); return REFUSAL } })
})

test('a caller that is refused finds its key free at another node', async (t) => {
  const keyValue = new LateDeletions()
  const services = [openService(keyValue, 1), openService(keyValue, 2)] as const
  t.teardown(() => services.forEach((service) => service.dispose()))
  t.is((await runRefused(services[0])).ran, Ran.No)
  t.is((await services[1].claim({ organisation: ORGANISATION, key: 'k', body: Buffer.from('order'), timeLimit: 30_000 })).type, 'claimed')
})

test('a refusal is sent although the store does not confirm the release of the key', async (t) => {
  const keyValue = new FakeKeyValue()
  const service = openService(keyValue, 1)
  t.teardown(() => service.dispose())
  const outcome = await new Promise<Outcome>((resolve) => {
    const runner = new KeyedRequestRunner(service, new TimeLine('node-1' as NodeId, new HybridClock(Date.now)))
    const run = async (receiver: { fail: (outcome: Outcome) => void }): Promise<Outcome> => { keyValue.goDown(); receiver.fail(REFUSAL); return REFUSAL }
    void runner.run({ spec: spec(), key: 'k', identity: Buffer.from('order'), answer: new FailingAnswer(resolve), run })
  })
  t.is(outcome.ran, Ran.No)
})
