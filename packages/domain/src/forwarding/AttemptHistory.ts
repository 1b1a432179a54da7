/** What may follow an attempt that brought no whole answer. */
import type { RunnerId } from '../types.js'
import { CallKind } from './types.js'
import type { Route } from './types.js'

/** How an attempt ended without a whole answer. */
export const AttemptEnd = {
  /** No byte of the request left. */
  Unsent: 'unsent',
  /** The backend server said that it has not run the request. */
  NotRun: 'not_run',
  /** The backend server said that it has not run the request, because of an engine that was to help it. */
  HelperFailed: 'helper_lost',
  /** The backend server ran the request and answered with a failure. */
  Failed: 'failed',
  /** The answer broke off, or was not the server's own. */
  Broken: 'lost',
  /** No byte of the answer came for too long. */
  TimedOut: 'silent'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** Attempts from which no byte left that are made beside those that the route allows. */
export const MAX_UNSENT_ATTEMPTS = 5

/** Attempts that fail because of a helper and are made beside those that the route allows. */
export const MAX_HELPER_FAILURES = 3

/**
 * @param route - the request's route
 * @returns whether the request may run more than once
 */
export const mayRunAgain = ({ kind, resumable }: Route): boolean =>
  kind === CallKind.Safe || (kind === CallKind.Stream && resumable)

/** The attempts of one request, and what may follow them by the rules of its route; the retry budget is asked apart. */
export class AttemptHistory {
  /** Servers that bytes of the request went to. */
  readonly #sentTo = new Set<RunnerId>()
  /** Servers that do not get the request again. */
  readonly #tried = new Set<RunnerId>()
  readonly #route: Route
  /** Where the attempt in progress goes. */
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
    return this.#mayHaveRun
  }

  /** Whether no further server may get the request. */
  get isExhausted (): boolean {
    const isNewServer = this.#current !== null && !this.#sentTo.has(this.#current)
    return this.#sentTo.size + (isNewServer ? 1 : 0) >= this.#route.maxAttempts
  }

  /** @returns the servers that were tried, in turn */
  triedServers (): RunnerId[] {
    return [...this.#tried]
  }

  /**
   * @param server - a backend server
   * @returns whether the next attempt may go there
   */
  allows (server: RunnerId): boolean {
    return !this.#tried.has(server) && (!this.isExhausted || this.#sentTo.has(server))
  }

  /**
   * Enters an attempt that may reach its server.
   *
   * @param server - where it goes
   */
  start (server: RunnerId): void {
    this.#tried.add(server)
    this.#current = server
  }

  /**
   * Enters how the last attempt ended.
   *
   * @param server - where it went
   * @param end - how it ended
   * @returns whether another attempt may follow
   */
  end (server: RunnerId, end: AttemptEnd): boolean {
    this.#current = null
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
