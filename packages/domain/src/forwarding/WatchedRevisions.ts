/** Finds waiting watches of the platform's store whose answer may have been lost. */
import type { Millis } from '../types.js'
import type { StoreRevision } from './storeRevision.js'

/** Time that the answer of a watch may need beyond another answer that shows the same revision. */
export const MAX_ANSWER_DELAY: Millis = 200

/** What is known of the items under one prefix. */
interface WatchedPrefix {
  /** Revision up to which the items are known. */
  revision: StoreRevision
  /** Time since which answers show a later change that has not arrived; null if there is none. */
  behindSince: Millis | null
  /** Revision of the store when the watch was reported; null if it was answered since. */
  reported: StoreRevision | null
}

/**
 * Compares the revisions that the store's answers state with the changes that have arrived. A watch whose answer was lost waits like one
 * without changes. A revision that has arrived on the watch of another prefix is no change of this one, so it does not raise suspicion.
 */
export class WatchedRevisions {
  readonly #prefixes = new Map<string, WatchedPrefix>()
  /** Revisions of the changes that have arrived and are later than what is known of some prefix. */
  readonly #arrived = new Set<StoreRevision>()
  /** Latest revision that an answer has stated. */
  #newest: StoreRevision = 0

  /** Whether a watch may have missed a change and has not been reported: it is compared again after `MAX_ANSWER_DELAY`. */
  get isBehind (): boolean {
    return [...this.#prefixes.values()].some(({ behindSince, reported }) => behindSince !== null && reported === null)
  }

  /**
   * Records that the items under a prefix were listed, or that a watch was answered.
   *
   * @param prefix - prefix of the items
   * @param revision - revision up to which they are known
   * @param changes - revisions of the changes in the answer
   */
  answered (prefix: string, revision: StoreRevision, changes: readonly StoreRevision[] = []): void {
    // The store may answer a watch without changes with an older revision than the one at which it was repeated.
    const before = this.#prefixes.get(prefix)
    const known = Math.max(revision, before?.revision ?? revision, before?.reported ?? revision)
    this.#prefixes.set(prefix, { revision: known, behindSince: null, reported: null })
    for (const change of changes) this.#arrived.add(change)
    this.#forgetKnown()
  }

  /**
   * Records that a prefix is not watched any more, or has to be listed again.
   *
   * @param prefix - prefix of the items
   */
  ended (prefix: string): void {
    this.#prefixes.delete(prefix)
    this.#forgetKnown()
  }

  /**
   * Records the revision that an answer of the store states. Answers of replicas that are behind state a lower one, which shows nothing: the
   * watches are compared with the latest revision that was stated so far.
   *
   * @param revision - revision of the store
   * @param now - current time
   * @returns prefixes whose watch may have missed a change for longer than an answer needs; each once until it is answered
   */
  storeAt (revision: StoreRevision, now: Millis): string[] {
    this.#newest = Math.max(this.#newest, revision)
    return [...this.#prefixes].filter(([, watched]) => this.#isReportDue(watched, this.#newest, now)).map(([prefix]) => prefix)
  }

  #isReportDue (watched: WatchedPrefix, revision: StoreRevision, now: Millis): boolean {
    if (watched.reported !== null) return false
    watched.behindSince = this.#mayMiss(watched.revision, revision) ? watched.behindSince ?? now : null
    if (watched.behindSince === null) return false
    if (now - watched.behindSince < MAX_ANSWER_DELAY) return false
    watched.reported = revision
    return true
  }

  /** Whether the store has given out a revision in between that has not arrived on any watch. */
  #mayMiss (known: StoreRevision, revision: StoreRevision): boolean {
    if (revision <= known) return false
    const arrived = [...this.#arrived].filter((change) => change > known && change <= revision)
    return arrived.length < revision - known
  }

  #forgetKnown (): void {
    const lowest = Math.min(...[...this.#prefixes.values()].map((watched) => watched.revision))
    for (const change of this.#arrived) if (change <= lowest) this.#arrived.delete(change)
  }
}
