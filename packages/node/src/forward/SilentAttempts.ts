/** Keeps the attempts of one request whose servers are silent while another server is tried. */
import type { HealthSignal } from '@bluebellhill/domain'

import type { OpenAttempt } from './types.js'

/** Silent attempts, the earliest first. They are kept until another server answers; one goes on if its server does so first. */
export class SilentAttempts {
  readonly #release: (attempt: OpenAttempt, signal: HealthSignal | null) => void
  #attempts: readonly OpenAttempt[] = []

  /** @param release - called for each attempt that is closed, with what it says of its server */
  constructor (release: (attempt: OpenAttempt, signal: HealthSignal | null) => void) {
    this.#release = release
  }

  /** The earliest attempt. */
  get first (): OpenAttempt | undefined {
    return this.#attempts[0]
  }

  /** The earliest attempt that goes on beside its hedge. */
  get firstRaced (): OpenAttempt | undefined {
    return this.#attempts.find(({ isRaced }) => isRaced)
  }

  has (attempt: OpenAttempt): boolean {
    return this.#attempts.includes(attempt)
  }

  add (attempt: OpenAttempt): void {
    this.#attempts = [...this.#attempts, attempt]
  }

  /** Forgets an attempt that goes on. */
  remove (attempt: OpenAttempt): void {
    this.#attempts = this.#attempts.filter((silent) => silent !== attempt)
  }

  close (attempt: OpenAttempt, signal: HealthSignal | null): void {
    this.remove(attempt)
    this.#release(attempt, signal)
  }

  closeAll (): void {
    const closed = this.#attempts
    this.#attempts = []
    for (const attempt of closed) this.#release(attempt, null)
  }
}
