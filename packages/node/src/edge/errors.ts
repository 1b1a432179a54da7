/** Errors of the HTTP interface for callers. */
import type { OutcomeKind } from '@bluebellhill/domain'

/** Thrown when a call is refused before its admission; such a call has not run. */
export class RefusedCall extends Error {
  /** The kind of the outcome that is reported to the caller. */
  readonly kind: OutcomeKind
  /** Time after which the caller may retry, in milliseconds; null if a retry cannot succeed. */
  readonly retryAfter: number | null

  constructor (kind: OutcomeKind, detail: string, retryAfter: number | null = null) {
    super(detail)
    this.kind = kind
    this.retryAfter = retryAfter
  }
}
