/** Gauges of a node: what operators read of its state. */
import type { Millis } from '@bluebellhill/domain'

import type { NodeBuffers } from './buffers/NodeBuffers.js'
import type { EntryServer } from './entry/EntryServer.js'
import type { FleetState } from './FleetState.js'
import type { ForwardMetrics } from './ForwardMetrics.js'
import { measureMemory } from './MemoryWatch.js'
import type { PeerLink } from './peers/PeerLink.js'
import type { Scheduler } from './scheduling/Scheduler.js'
import type { StoreAvailability } from './store/StoreAvailability.js'

/** Components of a node whose state the gauges show. */
export interface GaugeSources {
  readonly fleetState: FleetState
  readonly storeAvailability: StoreAvailability
  readonly scheduler: Scheduler
  readonly peerLink: PeerLink
  readonly entryServer: EntryServer
  readonly buffers: NodeBuffers
  readonly clock: () => Millis
  /** Returns the number of dropped log lines. */
  readonly droppedLogLines: () => number
  /** Returns the number of errors that no task has handled. */
  readonly uncaughtErrors: () => number
}

/**
 * Adds the gauges of a node.
 *
 * @param metrics - gets them
 * @param sources - what they show, each time it is read
 */
export const addNodeGauges = (metrics: ForwardMetrics, sources: GaugeSources): void => {
  addStateGauges(metrics, sources)
  addSchedulerGauges(metrics, sources)
  addProcessGauges(metrics, sources)
}

const addStateGauges = (metrics: ForwardMetrics, { fleetState, storeAvailability, peerLink, entryServer, buffers }: GaugeSources): void => {
  metrics.addGauge('configuration_version', 'Version of the configuration in force', () => fleetState.configurationVersion)
  metrics.addGauge('store_lost', 'Whether the store does not answer', () => storeAvailability.isLost ? 1 : 0)
  metrics.addGauge('backend_servers', 'Backend servers with an entry', () => fleetState.servers.all().length)
  metrics.addGauge('failure_domains_evacuated', 'Failure domains to which no new request is sent', () => fleetState.restrictions.evacuated().length)
  metrics.addGauge('peers', 'Other nodes that are heard', () => peerLink.sources().length)
  metrics.addGauge('open_requests', 'Requests without a final answer', () => entryServer.openRequests)
  metrics.addGauge('buffered_bytes', 'Bytes buffered for callers and backend servers; 0 if the settings state no memory', () => buffers.total)
}

const addSchedulerGauges = (metrics: ForwardMetrics, { scheduler, clock }: GaugeSources): void => {
  metrics.addGauge('backend_servers_avoided', 'Backend servers that are avoided', () => scheduler.health.avoided(clock()).length)
  metrics.addGauge('backend_servers_cold', 'Backend servers that are cold, of the services that state a warm-up', () => scheduler.statements.coldServers.count())
  metrics.addGauge('backend_servers_uneven', 'Backend servers of plain services that are slower or faster than the others of their service', () => scheduler.unevenServers.count())
  metrics.addGauge('prompt_parts_quarantined', 'Prompt parts and requests that are refused', () => scheduler.quarantine.counts().partsQuarantined)
  metrics.addGauge('prompt_parts_suspected', 'Prompt parts and requests that may crash backend servers', () => scheduler.quarantine.counts().partsSuspected)
  metrics.addGauge('placements_waiting', 'Requests that wait at this scheduler for memory or a slot', () => scheduler.admission.waitingCount)
  metrics.addGauge('backend_servers_held', 'Backend servers whose free memory is kept for waiting requests', () => scheduler.admission.heldCount)
  metrics.addGauge('promises_pending', 'Refused requests for which memory is kept', () => scheduler.promisedRoom.counts(clock()).pending)
  metrics.addGauge('promises_made', 'Requests to which memory was promised since the start', () => scheduler.promisedRoom.counts(clock()).made)
  metrics.addGauge('promises_kept', 'Requests that returned and were placed since the start', () => scheduler.promisedRoom.counts(clock()).kept)
  metrics.addGauge('promises_expired', 'Promises that ran out without a return since the start', () => scheduler.promisedRoom.counts(clock()).expired)
}

const addProcessGauges = (metrics: ForwardMetrics, { droppedLogLines, uncaughtErrors }: GaugeSources): void => {
  metrics.addGauge('memory_resident_bytes', 'Memory of this process, as the operating system counts it', () => measureMemory().resident)
  metrics.addGauge('memory_heap_bytes', 'Heap of this process', () => measureMemory().heap)
  metrics.addGauge('memory_heap_limit_bytes', 'Heap beyond which the runtime ends this process', () => measureMemory().heapLimit)
  metrics.addGauge('log_lines_dropped', 'Lines of the log that found no room', droppedLogLines)
  metrics.addGauge('errors_uncaught', 'Errors since the start that have ended a timer or callback of this node', uncaughtErrors)
}
