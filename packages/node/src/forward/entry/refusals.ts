/** Answers of the node's own. */
import type { ServerResponse } from 'node:http'

import type { Millis } from '@bluebellhill/domain'

/** Why a request gets no answer of a backend server. */
export const RefusalCause = {
  BadRequest: 'bad_request',
  UnknownKey: 'unknown_key',
  UnknownRoute: 'unknown_route',
  BodyTooLarge: 'body_too_large',
  HeadTooLarge: 'head_too_large',
  /** No configuration is known yet. */
  Starting: 'starting',
  /** This node stops; another one takes the request. */
  Stopping: 'stopping',
  /** No backend server can take the request. */
  NoServer: 'no_server',
  /** The time was up before the request was sent. */
  TimedOutUnsent: 'timed_out_unsent',
  /** The time was up, and the request may have run. */
  TimedOut: 'timed_out',
  /** A backend server may have run the request, and its answer was lost. */
  AnswerLost: 'answer_lost'
} as const
export type RefusalCause = typeof RefusalCause[keyof typeof RefusalCause]

interface Refusal {
  readonly status: number
  /** When it is worth coming back; null where the status promises nothing or coming back cannot help. */
  readonly retryAfter: Millis | null
}

const REFUSALS: Readonly<Record<RefusalCause, Refusal>> = {
  [RefusalCause.BadRequest]: { status: 400, retryAfter: null },
  [RefusalCause.UnknownKey]: { status: 401, retryAfter: null },
  [RefusalCause.UnknownRoute]: { status: 404, retryAfter: null },
  [RefusalCause.BodyTooLarge]: { status: 413, retryAfter: null },
  [RefusalCause.HeadTooLarge]: { status: 431, retryAfter: null },
  [RefusalCause.Starting]: { status: 503, retryAfter: 300 },
  [RefusalCause.Stopping]: { status: 503, retryAfter: 0 },
  [RefusalCause.NoServer]: { status: 503, retryAfter: 300 },
  [RefusalCause.TimedOutUnsent]: { status: 503, retryAfter: 300 },
  [RefusalCause.TimedOut]: { status: 504, retryAfter: null },
  [RefusalCause.AnswerLost]: { status: 502, retryAfter: null }
}

const MS_PER_SECOND = 1_000

/**
 * Sends a final answer of the node's own. Its status promises that the request has not run only where it has not.
 *
 * @param response - where the answer goes; nothing of it has been sent
 * @param cause - why there is no other
 */
export const refuse = (response: ServerResponse, cause: RefusalCause): void => {
  if (response.headersSent || response.destroyed) return
  const { status, retryAfter } = REFUSALS[cause]
  const body = JSON.stringify({ error: { code: cause } })
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(retryAfter === null ? {} : { 'retry-after': String(retryAfter / MS_PER_SECOND) })
  })
  response.end(body)
}
