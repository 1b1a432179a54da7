/** Process that runs only the placement service; the test provides the leadership store and the engine over the IPC channel. */
import type { EngineCommand, FailureDomain, Member, NodeId, EngineCommandResult, PlacedRunner, RunnerId, WantedModel } from '@bluebellhill/domain'

import { EngineCommands, LeadershipStore, PlacementService } from '../src/index.js'
import type { LeaseAnswer } from '../src/index.js'

/** Calls from the process to the test. */
export type PlacementCall =
  | { readonly id: number, readonly type: 'acquire' | 'renew' | 'release', readonly token: string }
  | { readonly id: number, readonly type: 'order', readonly fencing: number, readonly order: EngineCommand }

/** Messages from the test to the process. */
export type PlacementMessage =
  | { readonly type: 'start', readonly node: string, readonly nodes: readonly string[], readonly lifetime: number }
  | { readonly type: 'wants', readonly wants: readonly WantedModel[] }
  | { readonly type: 'report', readonly runner: PlacedRunner }
  | { readonly type: 'answer', readonly id: number, readonly answer: unknown }

const pendingCalls = new Map<number, (answer: unknown) => void>()
let lastCallId = 0

const call = async <Answer>(request: Record<string, unknown>): Promise<Answer> => await new Promise((resolve) => {
  lastCallId += 1
  pendingCalls.set(lastCallId, (answer) => resolve(answer as Answer))
  process.send?.({ ...request, id: lastCallId })
})

class ChannelStore extends LeadershipStore {
  async acquire (_: FailureDomain, token: string): Promise<LeaseAnswer> {
    return await call<LeaseAnswer>({ type: 'acquire', token })
  }

  async renew (_: FailureDomain, token: string): Promise<LeaseAnswer> {
    return await call<LeaseAnswer>({ type: 'renew', token })
  }

  async release (_: FailureDomain, token: string): Promise<void> {
    await call({ type: 'release', token })
  }
}

class ChannelEngineCommands extends EngineCommands {
  async send (_: RunnerId, fencing: number, command: EngineCommand): Promise<EngineCommandResult> {
    return await call<EngineCommandResult>({ type: 'order', fencing, order: command })
  }
}

const memberOf = (node: string): Member =>
  ({ node: node as NodeId, failureDomain: 'fd' as FailureDomain, peerAddress: '', gossipAddress: '', state: 'alive', leaving: false, incarnation: 0, startedAt: 1 })

let service: PlacementService | null = null

const start = ({ node, nodes, lifetime }: Extract<PlacementMessage, { type: 'start' }>): void => {
  const members = nodes.map(memberOf)
  service = new PlacementService({
    node: node as NodeId,
    failureDomain: 'fd' as FailureDomain,
    startedAt: Date.now(),
    enginesCheckFencing: false,
    store: new ChannelStore(),
    engineCommands: new ChannelEngineCommands(),
    membersAcceptingWork: () => members,
    clock: () => performance.now(),
    lease: { lifetime, margin: lifetime / 5, renewPeriod: lifetime / 4, retryPeriod: lifetime / 4 },
    limits: { commandRetry: 500 }
  })
  service.start()
}

process.on('message', (message: PlacementMessage) => {
  if (message.type === 'start') start(message)
  else if (message.type === 'wants') service?.wantedModelsChanged(message.wants)
  else if (message.type === 'report') service?.runnerReported(message.runner)
  else {
    pendingCalls.get(message.id)?.(message.answer)
    pendingCalls.delete(message.id)
  }
})
process.on('disconnect', () => process.exit(0))
