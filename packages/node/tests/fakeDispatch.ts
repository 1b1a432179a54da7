/** Dispatcher host without runners or peers, for tests of its time line and metrics. */
import { Dispatcher } from '@bluebellhill/domain'
import type { AttemptId, NodeId, RunnerId, RunnerReport } from '@bluebellhill/domain'
import { HybridClock } from '@bluebellhill/protocol'
import { start, stop } from 'nact'
import type { Ref } from 'nact'

import { Metrics, TimeLine } from '../src/index.js'
import { DispatchTransport, DispatcherHost } from '../src/dispatch/DispatcherHost.js'

export const NODE = 'n1' as NodeId

/** Records the attempts that the dispatcher cancels on runners, and ignores all other calls. */
export class RecordingTransport extends DispatchTransport {
  readonly cancelled: AttemptId[] = []

  async cancelAttempt (_runner: RunnerId, attempt: AttemptId): Promise<void> {
    this.cancelled.push(attempt)
  }

  async sendGroupMessage (): Promise<void> {}
  async recallAttempt (): Promise<void> {}
}

/** Builds a status report of an engine that serves the model `m` and holds memory for the given attempts. */
export const reportWith = (held: readonly string[], loading = false): RunnerReport => ({
  model: 'm',
  version: '1',
  adapters: [],
  loading,
  totalTokens: 400_000,
  slots: 8,
  blockTokens: 256,
  chunkTokens: 2_048,
  loadAge: 0,
  running: 0,
  waiting: 0,
  freeTokens: 400_000,
  pendingPrefillTokens: 0,
  prefillRate: 80_000,
  decodeRate: 100,
  held: held.map((attempt) => ({ attempt: attempt as AttemptId, heldTokens: 10, age: 60_000 }))
})

/** Starts a host whose grants expire within a second. */
export const openHost = () => {
  const system = start() as Ref<unknown>
  const timeLine = new TimeLine(NODE, new HybridClock(() => Date.now()), { requests: 1_000, fleet: 1_000 })
  const metrics = new Metrics()
  const transport = new RecordingTransport()
  const dispatcher = new Dispatcher({ node: NODE, grantValidity: 20, progressTimeout: 50, inheritedGrace: 20, foreignGrace: 20 })
  const host = new DispatcherHost(dispatcher, transport, timeLine, metrics, system)
  const close = () => {
    host.dispose()
    stop(system as never)
  }
  return { host, timeLine, metrics, transport, close }
}
