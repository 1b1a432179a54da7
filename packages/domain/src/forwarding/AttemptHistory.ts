/** Decides whether a request may be sent again after an attempt without a complete answer. */
import type { RunnerId } from '../types.js'
import { CallKind } from './types.js'
import type { Route } from './types.js'

/** How an attempt ended without a complete answer. */
export const AttemptEnd = {
  /** No byte of the request was sent. */
  Unsent: 'unsent',
  /** The backend server reported that it has not run the request. */
  NotRun: 'not_run',
  /** The backend server reported that it has not run the request because one of its helpers failed. */
  HelperFailed: 'helper_lost',
  /** The backend server ran the request and answered with a failure. */
  Failed: 'failed',
  /** The answer broke off, or did not come from the server itself. */
  Broken: 'lost',
  /** No byte of the answer arrived within the timeout. */
  TimedOut: 'silent',
  /** The backend server sent more bytes than an answer may hold. */
  Oversized: 'oversized'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** Maximum number of unsent attempts that may be repeated; they do not count towards the route's limit. */
export const MAX_UNSENT_ATTEMPTS = 5

/** Maximum number of attempts that may be repeated because a helper failed; they do not count towards the route's limit. */
export const MAX_HELPER_FAILURES = 3

/**
 * @param route - the request's route
 * @returns whether the request may run more than once
 */
export const mayRunAgain = ({ kind, resumable }: Route): boolean =>
  kind === CallKind.Safe || (kind === CallKind.Stream && resumable)

/** Records the attempts of one request and applies the retry rules of its route. The caller checks the retry budget separately. */
export class AttemptHistory {
  /** Servers that received bytes of the request. */
  readonly #sentTo = new Set<RunnerId>()
  /** Servers that must not get the request again, in order of their attempts. */
  readonly #tried = new Set<RunnerId>()
  readonly #route: Route
  /** Servers whose attempts go on beside the one that was started last. */
  readonly #beside = new Set<RunnerId>()
  /** Server of the attempt in progress. */
  #current: RunnerId | null = null
  #unsentAttempts = 0
  #helperFailures = 0
  #mayHaveRun = false

  /** @param route - the request's route */
  constructor (route: Route) {
    this.#route = route
  }

  /** Whether the request may have run on any server. */
  get mayHaveRun (): boolean {
    return this.#mayHaveRun || this.#beside.size > 0
  }

  /** Whether the limit of servers that the request may be sent to is reached. */
  get isExhausted (): boolean {
    const isNewServer = this.#current !== null && !this.#sentTo.has(this.#current)
    return this.#sentTo.size + (isNewServer ? 1 : 0) >= this.#route.maxAttempts
  }

  /** @returns the servers that have received bytes of the request */
  sentServers (): RunnerId[] {
    return [...this.#sentTo]
  }

  /** @returns the servers that were tried, in order; a server whose attempt ended because a helper failed is not included */
  triedServers (): RunnerId[] {
    return [...this.#tried]
  }

  /** @returns the only servers that the next attempt may be sent to, because the limit of servers is reached; null if any may get it */
  permittedServers (): RunnerId[] | null {
    return this.isExhausted ? [...this.#sentTo] : null
  }

  /**
   * @param server - a backend server
   * @returns whether the next attempt may be sent to it
   */
  allows (server: RunnerId): boolean {
    return !this.#tried.has(server) && this.permittedServers()?.includes(server) !== false
  }

  /**
   * Records the start of an attempt.
   *
   * @param server - the backend server that it is sent to
   */
  start (server: RunnerId): void {
    this.#tried.add(server)
    this.#current = server
  }

  /**
   * Records that an attempt goes on while another one is started beside it. Both count towards the route's limit.
   *
   * @param server - the backend server that it was sent to
   */
  keepBeside (server: RunnerId): void {
    this.#current = null
    this.#sentTo.add(server)
    this.#beside.add(server)
  }

  /**
   * Records the end of the last attempt, or of one that went on beside it.
   *
   * @param server - the backend server that it was sent to
   * @param end - how it ended
   * @returns whether another attempt is allowed
   */
  end (server: RunnerId, end: AttemptEnd): boolean {
    this.#beside.delete(server)
    if (this.#current === server) this.#current = null
    if (end !== AttemptEnd.Unsent) this.#sentTo.add(server)
    switch (end) {
      case AttemptEnd.Unsent:
        this.#unsentAttempts += 1
        return !this.isExhausted && this.#unsentAttempts <= MAX_UNSENT_ATTEMPTS
      case AttemptEnd.HelperFailed:
        this.#tried.delete(server)
        this.#helperFailures += 1
        return this.#helperFailures <= MAX_HELPER_FAILURES
      case AttemptEnd.NotRun:
        return !this.isExhausted
      default:
        this.#mayHaveRun = true
        return !this.isExhausted && mayRunAgain(this.#route)
    }
  }
}
