import type { FailureDomain, NodeId } from '@bluebellhill/domain'
import { HybridClock, MemberState, NodeState, RunnerState } from '@bluebellhill/protocol'

import { DaemonFacade, Metrics, TimeLine } from '../src/index.js'

/** A fake daemon that is ready, with one other member and one runner. */
export class FakeDaemonFacade extends DaemonFacade {
  readonly node = 'n1' as NodeId
  readonly failureDomain = 'sohar' as FailureDomain
  readonly version = '0.1.0'
  readonly timeLine = new TimeLine(this.node, new HybridClock(() => 1_000), { requests: 100, fleet: 100 })
  readonly metrics = new Metrics()
  drainCount = 0

  uptime = () => 5_000
  state = () => this.drainCount > 0 ? NodeState.Draining : NodeState.Ready
  requestsInProgress = () => 2
  ordersQueued = () => 1
  members = () => [{ node: 'n2', failureDomain: 'saham', state: MemberState.Alive, incarnation: 3 }]
  configurations = () => [{ organisation: null, revision: '12', installedAt: 900 }]
  revisions = () => new Map([['fleet', 12]])
  platform = () => [{ service: 'key-value service', available: true, since: 100 }]
  leases = () => []
  runners = () => [{
    runner: 'g1',
    address: '127.0.0.1:9',
    failureDomain: 'sohar',
    state: RunnerState.Ready,
    model: 'm',
    version: '1',
    role: 'mixed',
    slots: 8,
    running: 1,
    waiting: 0,
    freeTokens: 10,
    totalTokens: 20,
    prefillRate: 1,
    decodeRate: 1,
    reportAge: null
  }]

  drain = () => { this.drainCount += 1 }
}
