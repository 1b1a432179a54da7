/** Defines the answers that a node gives itself, without an answer of a backend server. */
import type { ServerResponse } from 'node:http'

import { MAX_TIMER } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { PROMPT_SIZE_RULE } from '@bluebellhill/platform'

import { RELAY_HEADER } from '../relay/relayHeaders.js'

/** Why a node refuses a request or cannot return the answer of a backend server. */
export const RefusalCause = {
  BadRequest: 'bad_request',
  /** A request for engines states the size of its prompt in a way that no engine could serve. */
  PromptSizeUnusable: 'prompt_size_unusable',
  /** The head of a request was not complete in time. */
  HeadTimeout: 'head_timeout',
  /** The body of a request stood still while this node had no room for others; it has not been sent. */
  BodyStalled: 'body_stalled',
  UnknownKey: 'unknown_key',
  UnknownRoute: 'unknown_route',
  BodyTooLarge: 'body_too_large',
  HeadTooLarge: 'head_too_large',
  /** The node has no configuration yet. */
  Starting: 'starting',
  /** This node is stopping; another node can accept the request. */
  Stopping: 'stopping',
  /** No backend server can accept the request. */
  NoServer: 'no_server',
  /** This node reaches no backend server of the service; told to the node that has passed the request on. */
  Unreachable: 'unreachable',
  /** The buffers of this node are full, and its body cannot be held. */
  NodeMemory: 'node_memory',
  /** All backend servers that can accept the request have limited what they accept. */
  ServersLimited: 'servers_limited',
  /** The operator has evacuated all failure domains that the request may reach. */
  DomainsEvacuated: 'domains_evacuated',
  /** The deadline passed before the request was sent. */
  TimedOutUnsent: 'timed_out_unsent',
  /** The deadline passed, and the request may have run. */
  TimedOut: 'timed_out',
  /** A backend server may have run the request, and its answer was lost. */
  AnswerLost: 'answer_lost',
  /** A part of the prompt crashes engines; the request has not run. */
  QuarantinedUnsent: 'prompt_quarantined_unsent',
  /** A part of the prompt crashes engines, and the request may have run. */
  Quarantined: 'prompt_quarantined',
  /** The request crashes backend servers each time it comes; it has not run this time. */
  RequestQuarantinedUnsent: 'request_quarantined_unsent',
  /** The request crashes backend servers, and may have run this time. */
  RequestQuarantined: 'request_quarantined'
} as const
export type RefusalCause = typeof RefusalCause[keyof typeof RefusalCause]

interface Refusal {
  readonly status: number
  /** Time after which the caller may retry; null if the request may have run, or if a retry cannot help. */
  readonly retryAfter: Millis | null
  /** Whether a longer time is known and not only predicted. */
  readonly isRetryAfterKnown?: boolean
  /** What the body says of it; absent if the status says it. */
  readonly ran?: 'no' | 'unknown'
  /** What the caller has to change; absent if the code says it. */
  readonly message?: string
}

/** Longest time after which a caller is asked to return, as far as it is only predicted. */
const MAX_PREDICTED_RETRY_AFTER: Millis = 3_000

const REFUSALS: Readonly<Record<RefusalCause, Refusal>> = {
  [RefusalCause.BadRequest]: { status: 400, retryAfter: null },
  [RefusalCause.PromptSizeUnusable]: { status: 400, retryAfter: null, ran: 'no', message: PROMPT_SIZE_RULE },
  [RefusalCause.HeadTimeout]: { status: 408, retryAfter: null },
  [RefusalCause.BodyStalled]: { status: 408, retryAfter: 300 },
  [RefusalCause.UnknownKey]: { status: 401, retryAfter: null },
  [RefusalCause.UnknownRoute]: { status: 404, retryAfter: null },
  [RefusalCause.BodyTooLarge]: { status: 413, retryAfter: null },
  [RefusalCause.HeadTooLarge]: { status: 431, retryAfter: null },
  [RefusalCause.Starting]: { status: 503, retryAfter: 300 },
  [RefusalCause.Stopping]: { status: 503, retryAfter: 0 },
  [RefusalCause.NoServer]: { status: 503, retryAfter: 300 },
  [RefusalCause.Unreachable]: { status: 503, retryAfter: 300 },
  [RefusalCause.NodeMemory]: { status: 503, retryAfter: 300 },
  [RefusalCause.ServersLimited]: { status: 503, retryAfter: 300, isRetryAfterKnown: true },
  [RefusalCause.DomainsEvacuated]: { status: 503, retryAfter: 1_000 },
  [RefusalCause.TimedOutUnsent]: { status: 503, retryAfter: 300 },
  [RefusalCause.TimedOut]: { status: 504, retryAfter: null },
  [RefusalCause.AnswerLost]: { status: 502, retryAfter: null },
  // Callers repeat no request after this status: each repetition could crash another server.
  [RefusalCause.QuarantinedUnsent]: { status: 400, retryAfter: null, ran: 'no' },
  [RefusalCause.Quarantined]: { status: 400, retryAfter: null, ran: 'unknown' },
  [RefusalCause.RequestQuarantinedUnsent]: { status: 400, retryAfter: null, ran: 'no' },
  [RefusalCause.RequestQuarantined]: { status: 400, retryAfter: null, ran: 'unknown' }
}

/**
 * @param cause - why a request is refused
 * @returns the HTTP status of the refusal
 */
export const refusalStatus = (cause: RefusalCause): number => REFUSALS[cause].status

const MS_PER_SECOND = 1_000

/**
 * Sends a final answer of this node. Only a request that has not run gets a status that says so.
 *
 * @param response - response to the caller; it is not used if its head has been sent
 * @param cause - why the request is not answered by a backend server
 * @param predictedRetryAfter - time after which it can be served, as far as is known; null for the usual time of the cause
 */
export const refuse = (response: ServerResponse, cause: RefusalCause, predictedRetryAfter: Millis | null = null): void => {
  if (response.headersSent || response.destroyed) return
  const { status, retryAfter: usualRetryAfter, isRetryAfterKnown = false, ran, message } = REFUSALS[cause]
  const longest = isRetryAfterKnown ? MAX_TIMER : MAX_PREDICTED_RETRY_AFTER
  const retryAfter = usualRetryAfter === null || predictedRetryAfter === null ? usualRetryAfter : Math.min(longest, predictedRetryAfter)
  if (response.hasHeader(RELAY_HEADER)) response.setHeader(RELAY_HEADER, cause)
  const body = JSON.stringify({ error: { code: cause, ran, message } })
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(retryAfter === null ? {} : { 'retry-after': String(retryAfter / MS_PER_SECOND) })
  })
  response.end(body)
}
