import test from 'ava'
import type { NodeId, EngineCommandResult, RunnerId } from '@bluebellhill/domain'
import { EventKind, HybridClock } from '@bluebellhill/protocol'

import { TimeLine } from '../src/index.js'
import { EngineOrders, RecordedEngineOrders } from '../src/placement/index.js'

class FixedAnswers extends EngineOrders {
  constructor (private readonly answers: EngineCommandResult[]) {
    super()
  }

  async give (): Promise<EngineCommandResult> {
    return this.answers.shift() ?? { kind: 'failed', reason: 'no answer' }
  }
}

test('an order to an engine is recorded with its reason and what the engine answered', async (t) => {
  const timeLine = new TimeLine('n1' as NodeId, new HybridClock(() => 1_000))
  const runner = 'g1' as RunnerId
  const orders = new RecordedEngineOrders(new FixedAnswers([{ kind: 'accepted' }, { kind: 'stale_fencing', current: 9 }]), timeLine)
  const load = { kind: 'load', model: 'slip', version: '2' } as const
  orders.because(runner, 'one runner is wanted')
  await orders.give(runner, 7, load)
  orders.because(runner, 'no traffic')
  await orders.give(runner, 7, { kind: 'unload' })
  await orders.give(runner, 7, { kind: 'unload' })
  const events = timeLine.query({ kinds: [EventKind.EngineOrdered] }).events
  t.deepEqual(events.map((event) => event.reason), [
    'one runner is wanted; accepted',
    'no traffic; refused: a leader with fencing number 9 has given an order already',
    'failed: no answer'
  ])
  t.deepEqual(events.map((event) => event.payload), [
    { order: 'load slip 2', fencing: '7', accepted: true },
    { order: 'unload', fencing: '7', accepted: false },
    { order: 'unload', fencing: '7', accepted: false }
  ])
})
