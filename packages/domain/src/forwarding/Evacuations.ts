/** Keeps which failure domains the operator has evacuated, up to the newest revision of the store that this node has heard of. */
import type { FailureDomain, Millis } from '../types.js'
import { EXPIRED_ENTRY_GRACE } from './BackendServerTable.js'
import { eraOf } from './storeRevision.js'
import type { StoreRevision } from './storeRevision.js'

/**
 * Time for which other nodes are told of a change, or that their set is outdated. It covers several lost reports; a node that still has
 * an older set after it is told again, because its own reports contain that set.
 */
const SHARING_PERIOD: Millis = 5_000

/** The evacuated failure domains as of one revision of the store. */
export interface EvacuationState {
  readonly failureDomains: readonly FailureDomain[]
  readonly revision: StoreRevision
}

/** Write or deletion of the key of one evacuation. */
export interface EvacuationWrite {
  readonly failureDomain: FailureDomain
  readonly isEvacuated: boolean
  readonly revision: StoreRevision
}

/** What the state of another node has shown. */
export const EvacuationNews = {
  None: 'none',
  /** It was newer, and the evacuated failure domains have changed. */
  Changed: 'changed',
  /** The other node has an older set, and should be told of the newer one. */
  Outdated: 'outdated'
} as const
export type EvacuationNews = typeof EvacuationNews[keyof typeof EvacuationNews]

/** The newest known set of evacuated failure domains; it is never replaced by an older one. */
export class Evacuations {
  #failureDomains: ReadonlySet<FailureDomain> = new Set()
  #revision: StoreRevision = 0
  /** Evacuations that a restored copy of the store lacks, with the time until which they are kept. */
  readonly #kept = new Map<FailureDomain, Millis>()
  #sharedUntil: Millis = -Infinity

  /** The set that the store contains, with the revision up to which it is known. */
  get state (): EvacuationState {
    return { failureDomains: [...this.#failureDomains].sort(), revision: this.#revision }
  }

  /**
   * @param failureDomain - failure domain of a backend server
   * @param now - current time
   * @returns whether no new request may reach the server
   */
  isEvacuated (failureDomain: FailureDomain, now: Millis): boolean {
    return this.#failureDomains.has(failureDomain) || now < (this.#kept.get(failureDomain) ?? -Infinity)
  }

  /**
   * @param now - current time
   * @returns all evacuated failure domains, those included that are kept over a restore of the store
   */
  inForce (now: Millis): FailureDomain[] {
    const kept = [...this.#kept.keys()].filter((failureDomain) => this.isEvacuated(failureDomain, now))
    return [...new Set([...this.#failureDomains, ...kept])].sort()
  }

  /**
   * Takes a complete listing of the store.
   *
   * @param state - the listed evacuations, and the revision of the listing
   * @param now - current time
   * @returns whether the evacuated failure domains have changed
   */
  listed ({ failureDomains, revision }: EvacuationState, now: Millis): boolean {
    return revision >= this.#revision && this.#install(new Set(failureDomains), revision, now)
  }

  /**
   * Takes the changes of one answer of the store together: several may have the same revision.
   *
   * @param writes - all changes since the last answer
   * @param revision - revision of the store up to which they go
   * @param now - current time
   * @returns whether the evacuated failure domains have changed
   */
  written (writes: readonly EvacuationWrite[], revision: StoreRevision, now: Millis): boolean {
    const failureDomains = new Set(this.#failureDomains)
    for (const write of writes.filter((candidate) => candidate.revision > this.#revision)) {
      this.#kept.delete(write.failureDomain)
      if (write.isEvacuated) failureDomains.add(write.failureDomain)
      else failureDomains.delete(write.failureDomain)
    }
    return this.#install(failureDomains, Math.max(this.#revision, revision), now)
  }

  /**
   * Takes the state that another node reports.
   *
   * @param state - its state
   * @param now - current time
   * @returns what this node or the other one learns from it
   */
  reported ({ failureDomains, revision }: EvacuationState, now: Millis): EvacuationNews {
    const other = new Set(failureDomains)
    if (revision > this.#revision) return this.#install(other, revision, now) ? EvacuationNews.Changed : EvacuationNews.None
    if (revision === this.#revision || isSame(other, this.#failureDomains)) return EvacuationNews.None
    this.#sharedUntil = now + SHARING_PERIOD
    return EvacuationNews.Outdated
  }

  /**
   * @param now - current time
   * @returns what reports to other nodes contain; null while there is no evacuation, and no node is known to have an outdated one
   */
  shared (now: Millis): EvacuationState | null {
    return this.#failureDomains.size > 0 || now < this.#sharedUntil ? this.state : null
  }

  /** A store that was restored from a copy may lack its last evacuations: the operator can write them again within the grace period. */
  #install (failureDomains: ReadonlySet<FailureDomain>, revision: StoreRevision, now: Millis): boolean {
    const before = this.#failureDomains
    if (eraOf(revision) > eraOf(this.#revision)) for (const lost of before) if (!failureDomains.has(lost)) this.#kept.set(lost, now + EXPIRED_ENTRY_GRACE)
    this.#revision = revision
    if (isSame(before, failureDomains)) return false
    this.#failureDomains = failureDomains
    this.#sharedUntil = now + SHARING_PERIOD
    return true
  }
}

const isSame = (a: ReadonlySet<FailureDomain>, b: ReadonlySet<FailureDomain>): boolean => a.size === b.size && [...a].every((member) => b.has(member))
