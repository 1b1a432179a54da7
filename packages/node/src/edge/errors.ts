/** Errors of the caller edge. */
import type { OutcomeKind } from '@bluebellhill/domain'

/** A call that was refused before it was admitted; it did not run. */
export class RefusedCall extends Error {
  /** The kind of the outcome that the caller is told. */
  readonly kind: OutcomeKind
  /** When the caller may try again, in milliseconds; null where that cannot help. */
  readonly retryAfter: number | null

  constructor (kind: OutcomeKind, detail: string, retryAfter: number | null = null) {
    super(detail)
    this.kind = kind
    this.retryAfter = retryAfter
  }
}
