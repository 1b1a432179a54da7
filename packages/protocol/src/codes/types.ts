import type { OutcomeKind, Ran } from '@bluebellhill/domain'

/** Error types of the OpenAI interface that the result codes use. */
export const ErrorType = {
  None: 'none',
  InvalidRequest: 'invalid_request_error',
  Authentication: 'authentication_error',
  RateLimit: 'rate_limit_error',
  Conflict: 'conflict_error',
  Timeout: 'timeout_error',
  Server: 'server_error'
} as const
export type ErrorType = typeof ErrorType[keyof typeof ErrorType]

/** One numbered way in which a request ends. */
export interface ResultCode {
  readonly number: number
  /** The name that callers and operators see; the same word as the outcome's kind. */
  readonly name: OutcomeKind
  /** HTTP status of the answer. */
  readonly status: number
  readonly type: ErrorType
  /** The values of `ran` that an outcome of this kind may carry. */
  readonly ran: readonly Ran[]
  /** Whether the answer carries `Retry-After`. */
  readonly retry: boolean
  /** What happened and what the caller can do. */
  readonly sentence: string
  /** What an operator looks at when many of these appear. */
  readonly operator: string
}

/** Body of an error answer, in the shape of the OpenAI interface. */
export interface ErrorBody {
  readonly error: {
    readonly message: string
    readonly type: ErrorType
    readonly code: OutcomeKind
    readonly number: number
    readonly ran: Ran
    readonly request_id: string
    readonly retry_after_ms: number | null
  }
}
