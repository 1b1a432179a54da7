/** Sends queries to other nodes as datagrams, repeats them, and matches the replies. */
import type { Millis } from '@bluebellhill/domain'

import { waitingInputRead } from '../../clock/inputTurn.js'

/** Times after which a query is repeated and given up. */
export interface QueryTiming {
  /** Time after which a query is sent once more, because datagrams may get lost. */
  readonly repeatDelay: Millis
  /** Time after which a query counts as unanswered. */
  readonly timeout: Millis
}

/** A scheduler that runs answers within a few milliseconds. */
export const QUERY_TIMING: QueryTiming = { repeatDelay: 15, timeout: 40 }

interface PendingQuery<Reply> {
  readonly resolve: (reply: Reply | null) => void
  readonly timers: readonly NodeJS.Timeout[]
}

/** Queries without a reply, by number. */
export class PendingQueries<Reply> {
  readonly #pending = new Map<number, PendingQuery<Reply>>()

  /** @param timing - when queries are repeated and given up */
  constructor (private readonly timing: QueryTiming) {}

  /**
   * Sends a query and waits for its reply.
   *
   * @param number - identifies the query at this node
   * @param send - sends the query
   * @returns the reply; null if there is none in time
   */
  async ask (number: number, send: () => void): Promise<Reply | null> {
    return await new Promise((resolve) => {
      this.#settle(number, null)
      const timers = [setTimeout(send, this.timing.repeatDelay), setTimeout(() => { void this.#expire(number, query) }, this.timing.timeout)]
      const query = { resolve, timers }
      this.#pending.set(number, query)
      send()
    })
  }

  /**
   * Waits for a reply that is sent without being asked for.
   *
   * @param number - identifies the query at this node
   * @param limit - longest wait
   * @param signal - ends the wait
   * @returns the reply; null if there is none in time
   */
  async expect (number: number, limit: Millis, signal?: AbortSignal): Promise<Reply | null> {
    return await new Promise((resolve) => {
      this.#settle(number, null)
      const stop = (): void => { this.#settle(number, null) }
      const timers = [setTimeout(() => { void this.#expire(number, query) }, Math.max(0, limit))]
      const query = {
        timers,
        resolve: (reply: Reply | null): void => {
          signal?.removeEventListener('abort', stop)
          resolve(reply)
        }
      }
      this.#pending.set(number, query)
      signal?.addEventListener('abort', stop)
      if (signal?.aborted === true) stop()
    })
  }

  /**
   * @param number - number of the query
   * @param reply - its reply
   * @returns whether the query was waiting for it
   */
  answer (number: number, reply: Reply): boolean {
    return this.#settle(number, reply)
  }

  /** A reply may have arrived while the process was held up. */
  async #expire (number: number, query: PendingQuery<Reply>): Promise<void> {
    await waitingInputRead()
    if (this.#pending.get(number) === query) this.#settle(number, null)
  }

  #settle (number: number, reply: Reply | null): boolean {
    const query = this.#pending.get(number)
    if (query === undefined) return false
    this.#pending.delete(number)
    for (const timer of query.timers) clearTimeout(timer)
    query.resolve(reply)
    return true
  }
}
