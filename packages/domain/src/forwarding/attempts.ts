/** What may follow an attempt that brought no whole answer. */
import { CallKind } from './types.js'
import type { Route } from './types.js'

/** How an attempt ended without a whole answer. */
export const AttemptEnd = {
  /** No byte of the request left. */
  Unsent: 'unsent',
  /** The backend server said that it has not run the request. */
  NotRun: 'not_run',
  /** The backend server ran the request and answered with a failure. */
  Failed: 'failed',
  /** The answer broke off, was not the server's own, or did not come. */
  Lost: 'lost'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** Attempts from which no byte left that are made beside those that the route allows. */
export const MOST_UNSENT_ATTEMPTS = 5

/** The attempts of one request so far. */
export interface AttemptCount {
  /** Attempts from which bytes left. */
  readonly sent: number
  readonly unsent: number
}

/**
 * @param route - the request's route
 * @returns whether the request may run more than once
 */
export const mayRunAgain = ({ kind, resumable }: Route): boolean =>
  kind === CallKind.Safe || (kind === CallKind.Stream && resumable)

/**
 * Decides whether the request may be sent to another backend server.
 *
 * @param route - the request's route
 * @param end - how the last attempt ended
 * @param count - attempts so far
 * @returns whether the rules of the route allow it; the retry budget is asked apart
 */
export const mayFollow = (route: Route, end: AttemptEnd, { sent, unsent }: AttemptCount): boolean => {
  if (sent >= route.maxAttempts || unsent > MOST_UNSENT_ATTEMPTS) return false
  return end === AttemptEnd.Unsent || end === AttemptEnd.NotRun || mayRunAgain(route)
}
