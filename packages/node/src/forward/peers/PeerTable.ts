/** The other nodes: where they are, and what they said last. */
import type { Millis, NodeId, Assignment } from '@bluebellhill/domain'

import type { StatePart } from './stateCodec.js'

/** Silence after which a node counts as lost. */
export const PEER_LOST_AFTER: Millis = 2_000

/** Silence that a running process does not keep. */
const SILENCE_OF_ENDED_PROCESS: Millis = 1_000

/** Silence after which a node is forgotten. */
const PEER_FORGOTTEN_AFTER: Millis = 120_000

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
  readonly heardAt: Millis
  readonly lost: boolean
}

/** A state that has arrived whole. */
export interface HeardState {
  readonly peer: Peer
  readonly works: readonly Assignment[]
  /** Whether the node was not known, or had been lost, or had started again. */
  readonly isNew: boolean
  /** Whether the store no longer answers the node. */
  readonly lostStore: boolean
}

interface Gathering {
  readonly sequence: number
  readonly startedAt: number
  readonly parts: Map<number, readonly Assignment[]>
}

/** Keeps the newest state of each node. */
export class PeerTable {
  readonly #peers = new Map<NodeId, Peer>()
  readonly #gathering = new Map<NodeId, Gathering>()
  /** Addresses that were named by others and have not been heard from. */
  readonly #hearsay = new Map<string, Millis>()

  /** @returns the nodes that are known, lost ones too */
  all (): Peer[] {
    return [...this.#peers.values()]
  }

  /** @returns the nodes that are heard */
  heard (): Peer[] {
    return this.all().filter(({ lost }) => !lost)
  }

  /** @returns every address that a state is sent to */
  addresses (): string[] {
    return [...new Set([...this.all().map(({ address }) => address), ...this.#hearsay.keys()])]
  }

  /**
   * Notes addresses that the store, the settings or another node named.
   *
   * @param addresses - `ip:port` of nodes
   * @param now - time
   */
  named (addresses: readonly string[], now: Millis): void {
    const known = new Set(this.all().map(({ address }) => address))
    for (const address of addresses) if (!known.has(address)) this.#hearsay.set(address, now)
  }

  /**
   * Takes a datagram in.
   *
   * @param part - its contents
   * @param address - where it came from
   * @param now - time
   * @returns the state once it is whole and newer than what was known, else null
   */
  hear (part: StatePart, address: string, now: Millis): HeardState | null {
    const known = this.#peers.get(part.node)
    if (known !== undefined && isOlder(part, known, now)) return null
    const works = this.#gather(part)
    if (works === null) return null
    const { node, startedAt, sequence, configurationVersion, serversRevision, storeLost } = part
    const failureDomain = part.failureDomain || (known?.failureDomain ?? '')
    const peer: Peer = { node, address, failureDomain, startedAt, sequence, configurationVersion, serversRevision, storeLost, heardAt: now, lost: false }
    this.#peers.set(node, peer)
    this.#hearsay.delete(address)
    return { peer, works, isNew: known === undefined || known.lost || known.startedAt !== startedAt, lostStore: storeLost && known?.storeLost !== true }
  }

  /**
   * Finds nodes that have fallen silent.
   *
   * @param now - time
   * @returns the nodes that are lost from now on
   */
  expire (now: Millis): Peer[] {
    const silent = this.all().filter(({ heardAt, lost }) => !lost && now - heardAt > PEER_LOST_AFTER)
    for (const peer of silent) this.#peers.set(peer.node, { ...peer, lost: true })
    for (const { node, heardAt } of this.all()) if (now - heardAt > PEER_FORGOTTEN_AFTER) this.#peers.delete(node)
    for (const [address, namedAt] of this.#hearsay) if (now - namedAt > PEER_FORGOTTEN_AFTER) this.#hearsay.delete(address)
    return silent
  }

  #gather (part: StatePart): readonly Assignment[] | null {
    if (part.parts === 1) return part.works
    const open = this.#gathering.get(part.node)
    const same = open !== undefined && open.sequence === part.sequence && open.startedAt === part.startedAt
    const gathering = same ? open : { sequence: part.sequence, startedAt: part.startedAt, parts: new Map<number, readonly Assignment[]>() }
    gathering.parts.set(part.part, part.works)
    this.#gathering.set(part.node, gathering)
    if (gathering.parts.size < part.parts) return null
    this.#gathering.delete(part.node)
    return [...gathering.parts.values()].flat()
  }
}

/**
 * A process that started later goes before; within one process, the higher sequence. Where a clock was set back, a
 * process may seem to have started before the one that it follows: then the other one is silent.
 */
const isOlder = (part: StatePart, known: Peer, now: Millis): boolean => {
  if (part.startedAt === known.startedAt) return part.sequence <= known.sequence
  return part.startedAt < known.startedAt && now - known.heardAt <= SILENCE_OF_ENDED_PROCESS
}
