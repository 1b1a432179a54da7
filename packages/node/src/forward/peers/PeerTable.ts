/** The other nodes: where they are, and what they said last. */
import type { Millis, NodeId, Work } from '@bluebellhill/domain'

import type { NodeStateFragment } from './stateCodec.js'

/** Silence after which a node counts as lost. */
export const PEER_LOST_AFTER: Millis = 2_000

/** Silence that a running process does not keep. */
const PROCESS_ENDED_AFTER: Millis = 1_000

/** Silence after which a node is forgotten. */
const PEER_REMOVED_AFTER: Millis = 120_000

/** What is known of another node. */
export interface Peer {
  readonly node: NodeId
  readonly address: string
  /** Empty until it has said so. */
  readonly failureDomain: string
  readonly startedAt: number
  readonly sequence: number
  readonly configurationVersion: number
  readonly serversRevision: number
  readonly storeLost: boolean
  readonly lastSeenAt: Millis
  readonly isLost: boolean
}

/** A state that has arrived whole. */
export interface ReceivedState {
  readonly peer: Peer
  readonly assignments: readonly Work[]
  /** Whether the node was not known, or had been lost, or had started again. */
  readonly isNew: boolean
  /** Whether the store no longer answers the node. */
  readonly hasLostStore: boolean
}

interface FragmentBuffer {
  readonly sequence: number
  readonly startedAt: number
  readonly fragments: Map<number, readonly Work[]>
}

/** Keeps the newest state of each node. */
export class PeerTable {
  readonly #peers = new Map<NodeId, Peer>()
  readonly #fragmentBuffers = new Map<NodeId, FragmentBuffer>()
  /** Addresses that were named by others and have not been heard from. */
  readonly #reportedAddresses = new Map<string, Millis>()

  /** @returns the nodes that are known, lost ones too */
  all (): Peer[] {
    return [...this.#peers.values()]
  }

  /** @returns the nodes that are heard */
  active (): Peer[] {
    return this.all().filter(({ isLost }) => !isLost)
  }

  /** @returns every address that a state is sent to */
  addresses (): string[] {
    return [...new Set([...this.all().map(({ address }) => address), ...this.#reportedAddresses.keys()])]
  }

  /**
   * Notes addresses that the store, the settings or another node named.
   *
   * @param addresses - `ip:port` of nodes
   * @param now - time
   */
  addAddresses (addresses: readonly string[], now: Millis): void {
    const knownAddresses = new Set(this.all().map(({ address }) => address))
    for (const address of addresses) if (!knownAddresses.has(address)) this.#reportedAddresses.set(address, now)
  }

  /**
   * Takes a datagram in.
   *
   * @param fragment - its contents
   * @param address - where it came from
   * @param now - time
   * @returns the state once it is whole and newer than what was known, else null
   */
  record (fragment: NodeStateFragment, address: string, now: Millis): ReceivedState | null {
    const previous = this.#peers.get(fragment.node)
    if (previous !== undefined && isOlder(fragment, previous, now)) return null
    const assignments = this.#assemble(fragment)
    if (assignments === null) return null
    const { node, startedAt, sequence, configurationVersion, serversRevision, storeLost } = fragment
    const failureDomain = fragment.failureDomain || (previous?.failureDomain ?? '')
    const peer: Peer = { node, address, failureDomain, startedAt, sequence, configurationVersion, serversRevision, storeLost, lastSeenAt: now, isLost: false }
    this.#peers.set(node, peer)
    this.#reportedAddresses.delete(address)
    return { peer, assignments, isNew: previous === undefined || previous.isLost || previous.startedAt !== startedAt, hasLostStore: storeLost && previous?.storeLost !== true }
  }

  /**
   * Finds nodes that have fallen silent.
   *
   * @param now - time
   * @returns the nodes that are lost from now on
   */
  expire (now: Millis): Peer[] {
    const newlyLost = this.all().filter(({ lastSeenAt, isLost }) => !isLost && now - lastSeenAt > PEER_LOST_AFTER)
    for (const peer of newlyLost) this.#peers.set(peer.node, { ...peer, isLost: true })
    for (const { node, lastSeenAt } of this.all()) if (now - lastSeenAt > PEER_REMOVED_AFTER) this.#peers.delete(node)
    for (const [address, reportedAt] of this.#reportedAddresses) if (now - reportedAt > PEER_REMOVED_AFTER) this.#reportedAddresses.delete(address)
    return newlyLost
  }

  #assemble (fragment: NodeStateFragment): readonly Work[] | null {
    if (fragment.parts === 1) return fragment.works
    const existing = this.#fragmentBuffers.get(fragment.node)
    const isSameState = existing !== undefined && existing.sequence === fragment.sequence && existing.startedAt === fragment.startedAt
    const buffer = isSameState ? existing : { sequence: fragment.sequence, startedAt: fragment.startedAt, fragments: new Map<number, readonly Work[]>() }
    buffer.fragments.set(fragment.part, fragment.works)
    this.#fragmentBuffers.set(fragment.node, buffer)
    if (buffer.fragments.size < fragment.parts) return null
    this.#fragmentBuffers.delete(fragment.node)
    return [...buffer.fragments.values()].flat()
  }
}

/**
 * A process that started later goes before; within one process, the higher sequence. Where a clock was set back, a
 * process may seem to have started before the one that it follows: then the other one is silent.
 */
const isOlder = (fragment: NodeStateFragment, previous: Peer, now: Millis): boolean => {
  if (fragment.startedAt === previous.startedAt) return fragment.sequence <= previous.sequence
  return fragment.startedAt < previous.startedAt && now - previous.lastSeenAt <= PROCESS_ENDED_AFTER
}
