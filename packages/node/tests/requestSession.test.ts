import test from 'ava'
import { OutcomeKind, Ran, RetryBudget } from '@bluebellhill/domain'
import type { DispatchOrder, NodeId, OrganisationId, Outcome, RequestId, RequestSpec, RunnerId } from '@bluebellhill/domain'
import { EventKind, HybridClock } from '@bluebellhill/protocol'
import { start, stop } from 'nact'
import type { Ref } from 'nact'

import { Metrics, TimeLine } from '../src/index.js'
import { monotonicNow } from '../src/clock/monotonic.js'
import { Answer } from '../src/requests/Answer.js'
import { Attempt } from '../src/requests/Attempt.js'
import type { AttemptListener, AttemptSpec } from '../src/requests/Attempt.js'
import { DispatchClient } from '../src/requests/DispatchClient.js'
import type { OrderResult } from '../src/requests/DispatchClient.js'
import { AttemptSource } from '../src/requests/ports.js'
import { RequestHost } from '../src/requests/RequestHost.js'

class GrantingDispatchClient extends DispatchClient {
  async acquire (order: DispatchOrder): Promise<OrderResult> {
    const grant = { attempt: order.attempt, entry: order.entry, runner: 'g1' as RunnerId, validFor: 5_000, priority: 1, reason: 'test', group: [] }
    return { type: 'granted', dispatcher: 'n2' as NodeId, grant, address: '127.0.0.1:1', groupAddresses: [] }
  }

  async report (): Promise<boolean> {
    return false
  }
}

class WholeAttempt extends Attempt {
  constructor (private readonly spec: AttemptSpec, private readonly listener: AttemptListener) {
    super()
  }

  async run (): Promise<void> {
    this.listener.sending(this.spec.attempt)
    this.listener.chunkReceived(this.spec.attempt, 0, 2, 'text')
    this.listener.completed(this.spec.attempt, { finishReason: 'stop', usage: { promptTokens: 1, completionTokens: 2 } })
  }

  abort (): void {}
}

class WholeSource extends AttemptSource {
  create (spec: AttemptSpec, listener: AttemptListener): Attempt {
    return new WholeAttempt(spec, listener)
  }

  async cancel (): Promise<void> {}
}

class FailingAnswer extends Answer {
  readonly failures: Outcome[] = []

  writeText (): boolean {
    return true
  }

  async drained (): Promise<void> {}

  end (): void {
    throw new Error('invalid character in header content')
  }

  fail (outcome: Outcome): void {
    this.failures.push(outcome)
  }
}

const specOf = (now: number): RequestSpec => ({
  id: 'r1' as RequestId,
  organisation: 'o' as OrganisationId,
  template: 't',
  model: 'm',
  version: null,
  adapter: null,
  urgency: 1,
  promptTokens: 10,
  maxTokens: 8,
  prefix: [],
  idempotent: true,
  admittedAt: now,
  deadline: now + 60_000
})

test('a request whose answer cannot be written still finishes, and its caller gets the failure', async (t) => {
  const system = start() as Ref<unknown>
  const timeLine = new TimeLine('n1' as NodeId, new HybridClock(() => Date.now()))
  const host = new RequestHost('n1' as NodeId, { retryBudget: new RetryBudget() }, { dispatchClient: new GrantingDispatchClient(), timeLine, metrics: new Metrics() }, system)
  const answer = new FailingAnswer()
  const { finished } = host.start(specOf(monotonicNow()), answer, new WholeSource())
  const outcome = await finished
  t.is(outcome.kind, OutcomeKind.Internal)
  t.is(outcome.ran, Ran.Yes)
  t.deepEqual(answer.failures, [outcome])
  t.is(host.size, 0)
  const end = timeLine.query({ kinds: [EventKind.RequestFinished] }).events[0]
  t.like(end?.payload, { code: OutcomeKind.Internal, ran: Ran.Yes, generated: 2 })
  stop(system as never)
})
