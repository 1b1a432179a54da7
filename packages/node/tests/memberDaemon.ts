/** Process that runs only the membership service; the test controls it over the IPC channel. */
import { MembershipService, LeavingRunners } from '../src/index.js'
import type { MembershipServiceOptions } from '../src/index.js'

import type { RunnerId } from '@bluebellhill/domain'

/** Commands from the test. */
export type DaemonCommand =
  | { readonly type: 'start', readonly options: Omit<MembershipServiceOptions, 'clock'> }
  | { readonly type: 'cut', readonly ports: readonly number[] }
  | { readonly type: 'leaving_runner', readonly runner: string }
  | { readonly type: 'leave' }
  | { readonly type: 'view' }
  | { readonly type: 'stop' }

/** Membership state of one process. */
export interface MemberView {
  readonly members: ReadonlyArray<{ readonly node: string, readonly state: string, readonly leaving: boolean }>
  readonly membersAcceptingWork: readonly string[]
  readonly leavingRunners: readonly string[]
  /** Members that this process itself declared unreachable, with the wall time in milliseconds since the epoch. */
  readonly declaredUnreachable: ReadonlyArray<{ readonly node: string, readonly at: number }>
  readonly selfDistrustCount: number
}

let service: MembershipService | null = null
const unreachableDeclarations: Array<{ node: string, at: number }> = []
let distrustCount = 0

const start = async (options: Omit<MembershipServiceOptions, 'clock'>): Promise<string> => {
  service = new MembershipService({ ...options, clock: () => performance.now() })
  service.onChange((change) => {
    if (change.type === 'self_distrusted') distrustCount += 1
    if (change.type === 'member_changed' && change.reason === 'suspicion was not refuted') unreachableDeclarations.push({ node: change.member.node, at: Date.now() })
  })
  return await service.start()
}

const view = (running: MembershipService): MemberView => ({
  members: running.members().map(({ node, state, leaving }) => ({ node, state, leaving })),
  membersAcceptingWork: running.membersAcceptingWork().map(({ node }) => node),
  leavingRunners: [...new LeavingRunners(running).all()],
  declaredUnreachable: unreachableDeclarations,
  selfDistrustCount: distrustCount
})

const runCommand = async (command: DaemonCommand): Promise<unknown> => {
  if (command.type === 'start') return await start(command.options)
  if (service === null) throw new Error('the membership service is not started')
  const ports = command.type === 'cut' ? new Set(command.ports) : new Set<number>()
  switch (command.type) {
    case 'cut': return service.setDropRule((_, address) => ports.has(Number(address.split(':')[1])))
    case 'leaving_runner': return new LeavingRunners(service).announce(command.runner as RunnerId)
    case 'leave': return service.leave()
    case 'view': return view(service)
    case 'stop':
      await service.dispose()
      process.disconnect()
  }
}

process.on('message', (message: DaemonCommand) => {
  void runCommand(message).then((reply) => { if (process.connected) process.send?.({ reply: reply ?? null }) })
})
process.on('disconnect', () => process.exit(0))
