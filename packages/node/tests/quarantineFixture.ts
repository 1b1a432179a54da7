/** Starts nodes that exchange evidence on prompt parts over loopback addresses, for tests. */
import { setTimeout as sleep } from 'node:timers/promises'

import type { ExecutionContext } from 'ava'

import { QuarantineStatus, SchedulerDirectory, WARM_UP } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, NodeId, PromptPart, RunnerId, SchedulerCandidate } from '@bluebellhill/domain'

import { FleetState } from '../src/forward/FleetState.js'
import { PeerLink } from '../src/forward/peers/PeerLink.js'
import type { NodeQuarantine } from '../src/forward/quarantine/NodeQuarantine.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { silentLog } from './forwardFixture.js'

/** Time between two crashes of a test: they are not one moment. */
const CRASH_INTERVAL_MS = 300

/** Part of requests that are answered meanwhile: without any, nothing tells a part that crashes engines from another cause. */
const OTHER_PART = 'another'

const MAX_CRASHES = 20

/** A node without callers and store. */
export interface EvidencePeer {
  readonly self: SchedulerCandidate
  readonly link: PeerLink
  readonly scheduler: Scheduler
  readonly fleetState: FleetState
  readonly directory: SchedulerDirectory
}

/** Starts a node; those with a higher index are preferred as schedulers. */
export const openEvidencePeer = async (t: ExecutionContext, host: string, port: number, index: number, domain = 'd1'): Promise<EvidencePeer> => {
  const log = silentLog()
  const clock = (): number => performance.now()
  const self: SchedulerCandidate = { node: `n${index}` as NodeId, address: `${host}:${port}`, failureDomain: domain as FailureDomain, processor: 1 + index }
  const fleetState = new FleetState(log, clock)
  const directory = new SchedulerDirectory(self, clock() - WARM_UP)
  const scheduler = new Scheduler({ node: self.node, fleetState, log, clock, runningClock: clock, retryBounds: () => ({ ratio: 0.2, slack: 100, window: 10_000 }), schedulerCount: () => 1, group: () => directory.group })
  const link = new PeerLink({
    self, startedAt: Date.now(), scheduler, directory, fleetState, log, clock, runningClock: clock, schedulersInUse: () => new Set(), onPeerAhead: () => {}, isStoreLost: () => false, onPeerStoreLost: () => {}, onPlacementMessage: () => {}
  })
  await link.start()
  t.teardown(() => link.dispose())
  return { self, link, scheduler, fleetState, directory }
}

/** Waits for a condition, with a generous limit. */
export const until = async (condition: () => boolean): Promise<void> => {
  const limit = performance.now() + 10_000
  while (!condition() && performance.now() < limit) await sleep(5)
}

/** Returns whether requests with a part are refused. */
export const refuses = (quarantine: NodeQuarantine, part: PromptPart): boolean => quarantine.verdict([part, 'own']).status === QuarantineStatus.Quarantined

/** Lets engines crash one after the other under a request with a part, until the part is quarantined at the node that sees it. */
export const crashEngines = async (quarantine: NodeQuarantine, part: PromptPart): Promise<void> => {
  for (let index = 0; !refuses(quarantine, part); index += 1) {
    const server: BackendServer = { id: `${part}-${index}` as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 1, readiness: 'ready', startedAt: null }
    const attempt = { request: `${part}${index}`, server, parts: [part, `own${index}`], identity: () => `@${part}${index}`, sentAt: performance.now(), isSound: false }
    quarantine.serverWatch.sent(attempt)
    quarantine.serverWatch.brokenOff(attempt)
    quarantine.serverWatch.ended(attempt)
    await sleep(CRASH_INTERVAL_MS)
    proveSound(quarantine, OTHER_PART)
    if (index > MAX_CRASHES) throw new Error('the part was not quarantined')
  }
}

/** Proves a part sound. */
export const proveSound = (quarantine: NodeQuarantine, part: PromptPart): void => {
  const server: BackendServer = { id: `${part}-sound` as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 1, readiness: 'ready', startedAt: null }
  const attempt = { request: `${part}-sound`, server, parts: [part, 'own'], identity: () => `@${part}-sound`, sentAt: performance.now(), isSound: false }
  quarantine.serverWatch.sent(attempt)
  quarantine.serverWatch.provedSound(attempt)
  quarantine.serverWatch.ended(attempt)
}
