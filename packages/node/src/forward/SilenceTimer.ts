/** Measures how long the server of an attempt sends no data. */
import { MAX_TIMER } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

import { waitingInputRead } from '../clock/inputTurn.js'
import type { OpenAttempt } from './types.js'

/** Tells whether something has happened to an attempt since its silence was noticed. */
export type ChangeCheck = () => boolean

/** Called when an attempt has had no data for too long. */
export type SilenceListener = (attempt: OpenAttempt, silence: Millis, hasGoneOn: ChangeCheck) => Promise<void>

/** Timer of the attempt in progress. */
export class SilenceTimer {
  readonly #onSilence: SilenceListener
  #timer: NodeJS.Timeout | null = null

  /** @param onSilence - called with the duration of the silence */
  constructor (onSilence: SilenceListener) {
    this.#onSilence = onSilence
  }

  /** Data has arrived, or the attempt has been sent: measures anew. */
  restart (attempt: OpenAttempt, timeout: Millis | null): void {
    this.clear()
    if (timeout !== null) this.extend(attempt, timeout, timeout)
  }

  /**
   * Waits on without data.
   *
   * @param wait - time until the listener is called again; at most the longest that a timer can measure
   * @param silence - duration of the silence by then
   */
  extend (attempt: OpenAttempt, wait: Millis, silence: Millis): void {
    this.#timer = setTimeout(() => { void this.#expired(attempt, silence) }, Math.min(wait, MAX_TIMER))
  }

  clear (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
  }

  async #expired (attempt: OpenAttempt, silence: Millis): Promise<void> {
    const timer = this.#timer
    const hasGoneOn = (): boolean => this.#timer !== timer
    await waitingInputRead()
    if (!hasGoneOn()) await this.#onSilence(attempt, silence, hasGoneOn)
  }
}
