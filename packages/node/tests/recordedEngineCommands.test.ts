import test from 'ava'
import type { NodeId, EngineCommandResult, RunnerId } from '@bluebellhill/domain'
import { EventKind, HybridClock } from '@bluebellhill/protocol'

import { TimeLine } from '../src/index.js'
import { EngineCommands, RecordedEngineCommands } from '../src/placement/index.js'

class FixedResults extends EngineCommands {
  constructor (private readonly results: EngineCommandResult[]) {
    super()
  }

  async send (): Promise<EngineCommandResult> {
    return this.results.shift() ?? { kind: 'failed', reason: 'no answer' }
  }
}

test('an engine command is recorded with its reason and result', async (t) => {
  const timeLine = new TimeLine('n1' as NodeId, new HybridClock(() => 1_000))
  const runner = 'g1' as RunnerId
  const orders = new RecordedEngineCommands(new FixedResults([{ kind: 'accepted' }, { kind: 'stale_fencing', current: 9 }]), timeLine)
  const load = { kind: 'load', model: 'slip', version: '2' } as const
  orders.setReason(runner, 'one runner is wanted')
  await orders.send(runner, 7, load)
  orders.setReason(runner, 'no traffic')
  await orders.send(runner, 7, { kind: 'unload' })
  await orders.send(runner, 7, { kind: 'unload' })
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
