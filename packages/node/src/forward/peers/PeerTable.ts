/** Stores the addresses of the other nodes and the last state received from each. */
import type { Millis, NodeId, Assignment } from '@bluebellhill/domain'

import type { NodeStateFragment } from './stateCodec.js'

/** Time since the last state after which a node counts as lost. */
export const PEER_LOST_AFTER: Millis = 2_000

/** Time since the last state after which a process counts as ended; a running process sends more often. */
const PROCESS_ENDED_AFTER: Millis = 1_000

/** Time since the last state after which a node is removed from the table. */
const PEER_REMOVED_AFTER: Millis = 120_000

/** Last state of another node, without its assignments. */
export interface Peer {
  readonly node: NodeId
  readonly address: string
  /** Empty until the node has sent it. */
  readonly failureDomain: string
  readonly startedAt: number
  readonly sequence: number
  readonly configurationVersion: number
  readonly serversRevision: number
  readonly storeLost: boolean
  readonly lastSeenAt: Millis
  readonly isLost: boolean
  /** Version of the datagrams that the node understands; 0 for earlier builds. */
  readonly version: number
}

/** State of another node of which all fragments have arrived. */
export interface ReceivedState {
  readonly peer: Peer
  readonly assignments: readonly Assignment[]
  /** Whether the node was unknown, was lost, or has restarted. */
  readonly isNew: boolean
  /** Whether the node has lost the store since its last state. */
  readonly hasLostStore: boolean
}

/** Fragments of a state that is not complete yet. */
interface FragmentBuffer {
  readonly sequence: number
  readonly startedAt: number
  readonly fragments: Map<number, readonly Assignment[]>
}

/** Stores the newest state of each node. */
export class PeerTable {
  readonly #peers = new Map<NodeId, Peer>()
  readonly #fragmentBuffers = new Map<NodeId, FragmentBuffer>()
  /** Addresses that were reported by others and have sent no state yet, with the time of the last report. */
  readonly #reportedAddresses = new Map<string, Millis>()

  /** @returns all nodes in the table, including lost ones */
  all (): Peer[] {
    return [...this.#peers.values()]
  }

  /** @returns the nodes that are not lost */
  active (): Peer[] {
    return this.all().filter(({ isLost }) => !isLost)
  }

  /** @returns the addresses of nodes of earlier builds, which expect the state of every other node, and the reported addresses */
  addresses (): string[] {
    const earlierBuilds = this.all().filter(({ version }) => version === 0)
    return [...new Set([...earlierBuilds.map(({ address }) => address), ...this.#reportedAddresses.keys()])]
  }

  /**
   * Adds addresses that the store, the settings or another node reported.
   *
   * @param addresses - `ip:port` of nodes
   * @param now - current time
   */
  addAddresses (addresses: readonly string[], now: Millis): void {
    const knownAddresses = new Set(this.all().map(({ address }) => address))
    for (const address of addresses) if (!knownAddresses.has(address)) this.#reportedAddresses.set(address, now)
  }

  /**
   * Records a received fragment of a state.
   *
   * @param fragment - decoded contents of the datagram
   * @param address - sender of the datagram
   * @param now - current time
   * @returns the state once it is complete, if it is newer than the stored one; else null
   */
  record (fragment: NodeStateFragment, address: string, now: Millis): ReceivedState | null {
    const previous = this.#peers.get(fragment.node)
    if (previous !== undefined && isOlder(fragment, previous, now)) return null
    const assignments = this.#assemble(fragment)
    if (assignments === null) return null
    const { node, startedAt, sequence, configurationVersion, serversRevision, storeLost, version } = fragment
    const failureDomain = fragment.failureDomain || (previous?.failureDomain ?? '')
    const peer: Peer = { node, address, failureDomain, startedAt, sequence, configurationVersion, serversRevision, storeLost, lastSeenAt: now, isLost: false, version }
    this.#peers.set(node, peer)
    this.#reportedAddresses.delete(address)
    return { peer, assignments, isNew: previous === undefined || previous.isLost || previous.startedAt !== startedAt, hasLostStore: storeLost && previous?.storeLost !== true }
  }

  /**
   * Marks nodes as lost that have not sent a state for too long, and removes old nodes and addresses.
   *
   * @param now - current time
   * @returns the nodes that were marked as lost by this call
   */
  expire (now: Millis): Peer[] {
    const newlyLost = this.all().filter(({ lastSeenAt, isLost }) => !isLost && now - lastSeenAt > PEER_LOST_AFTER)
    for (const peer of newlyLost) this.#peers.set(peer.node, { ...peer, isLost: true })
    for (const { node, lastSeenAt } of this.all()) if (now - lastSeenAt > PEER_REMOVED_AFTER) this.#peers.delete(node)
    for (const [address, reportedAt] of this.#reportedAddresses) if (now - reportedAt > PEER_REMOVED_AFTER) this.#reportedAddresses.delete(address)
    return newlyLost
  }

  #assemble (fragment: NodeStateFragment): readonly Assignment[] | null {
    if (fragment.parts === 1) return fragment.works
    const existing = this.#fragmentBuffers.get(fragment.node)
    const isSameState = existing !== undefined && existing.sequence === fragment.sequence && existing.startedAt === fragment.startedAt
    const buffer = isSameState ? existing : { sequence: fragment.sequence, startedAt: fragment.startedAt, fragments: new Map<number, readonly Assignment[]>() }
    buffer.fragments.set(fragment.part, fragment.works)
    this.#fragmentBuffers.set(fragment.node, buffer)
    if (buffer.fragments.size < fragment.parts) return null
    this.#fragmentBuffers.delete(fragment.node)
    return [...buffer.fragments.values()].flat()
  }
}

/**
 * The state of a process that started later is newer; within one process, the higher sequence number is newer. If a clock was
 * set back, a new process may seem to have started before the one it replaces: it is accepted once the old one has ended.
 */
const isOlder = (fragment: NodeStateFragment, previous: Peer, now: Millis): boolean => {
  if (fragment.startedAt === previous.startedAt) return fragment.sequence <= previous.sequence
  return fragment.startedAt < previous.startedAt && now - previous.lastSeenAt <= PROCESS_ENDED_AFTER
}
