/** A process with membership alone; the test talks to it over the process channel. */
import { MembershipService, LeavingRunners } from '../src/index.js'
import type { MembershipServiceOptions } from '../src/index.js'

import type { RunnerId } from '@bluebellhill/domain'

/** Orders from the test. */
export type DaemonOrder =
  | { readonly type: 'start', readonly options: Omit<MembershipServiceOptions, 'clock'> }
  | { readonly type: 'cut', readonly ports: readonly number[] }
  | { readonly type: 'leaving_runner', readonly runner: string }
  | { readonly type: 'leave' }
  | { readonly type: 'view' }
  | { readonly type: 'stop' }

/** What a process knows. */
export interface View {
  readonly members: ReadonlyArray<{ readonly node: string, readonly state: string, readonly leaving: boolean }>
  readonly workers: readonly string[]
  readonly leavingRunners: readonly string[]
  /** Members that this process itself declared unreachable, with the time since its start in milliseconds. */
  readonly declared: ReadonlyArray<{ readonly node: string, readonly at: number }>
  readonly distrusted: number
}

let service: MembershipService | null = null
const declared: Array<{ node: string, at: number }> = []
let distrusted = 0

const start = async (options: Omit<MembershipServiceOptions, 'clock'>): Promise<string> => {
  service = new MembershipService({ ...options, clock: () => performance.now() })
  service.onChange((change) => {
    if (change.type === 'self_distrusted') distrusted += 1
    if (change.type === 'member_changed' && change.reason === 'suspicion was not refuted') declared.push({ node: change.member.node, at: Date.now() })
  })
  return await service.start()
}

const view = (running: MembershipService): View => ({
  members: running.members().map(({ node, state, leaving }) => ({ node, state, leaving })),
  workers: running.workers().map(({ node }) => node),
  leavingRunners: [...new LeavingRunners(running).all()],
  declared,
  distrusted
})

const carryOut = async (order: DaemonOrder): Promise<unknown> => {
  if (order.type === 'start') return await start(order.options)
  if (service === null) throw new Error('not started')
  const ports = order.type === 'cut' ? new Set(order.ports) : new Set<number>()
  switch (order.type) {
    case 'cut': return service.dropWhere((_, address) => ports.has(Number(address.split(':')[1])))
    case 'leaving_runner': return new LeavingRunners(service).announce(order.runner as RunnerId)
    case 'leave': return service.leave()
    case 'view': return view(service)
    case 'stop':
      await service.dispose()
      process.disconnect()
  }
}

process.on('message', (order: DaemonOrder) => {
  void carryOut(order).then((reply) => { if (process.connected) process.send?.({ reply: reply ?? null }) })
})
process.on('disconnect', () => process.exit(0))
