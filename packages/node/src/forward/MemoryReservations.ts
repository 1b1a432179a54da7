/** Reserves KV cache memory on the holders of one attempt. */
import type { HolderReservation, Millis } from '@bluebellhill/domain'
import type { EngineMemoryClient } from '@bluebellhill/platform'
import { describeFailure } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import type { Log } from '../log/index.js'

/** Time after which a reservation expires unless renewed: short, so that no memory stays reserved when this node dies. */
export const RESERVATION_TTL: Millis = 3_000

/** Interval at which reservations are renewed. */
const RENEWAL_PERIOD: Millis = 1_000

/** KV cache memory that is reserved before an attempt is sent, and released after the attempt has ended. */
export class MemoryReservations {
  #renewalTimer: NodeJS.Timeout | null = null
  #isReleased = false

  /**
   * @param id - id of the reservations, unique over all attempts
   * @param holders - the engines, with the number of tokens to reserve on each
   * @param memory - client that reserves and releases memory on engines
   * @param log - receives a line for each failed call
   * @param clock - monotonic clock
   */
  constructor (readonly id: string, private readonly holders: readonly HolderReservation[], private readonly memory: EngineMemoryClient, private readonly log: Log, private readonly clock: () => Millis = monotonicNow) {}

  /**
   * Reserves memory on all holders. Returns false if one of them fails, or if a reservation may have expired before its answer was read, because this
   * process was held up; all reservations are then released.
   */
  async acquire (): Promise<boolean> {
    const startedAt = this.clock()
    const results = await Promise.all(this.holders.map((holder) => this.#reserveOn(holder)))
    if (this.#isReleased) return false
    const age = this.clock() - startedAt
    if (age >= RESERVATION_TTL) this.log.warn('memory.reservation_expired', { reservation: this.id, age_ms: Math.round(age) })
    if (results.includes(false) || age >= RESERVATION_TTL) {
      this.release()
      return false
    }
    this.#renewalTimer = setInterval(() => { for (const holder of this.holders) void this.#reserveOn(holder) }, RENEWAL_PERIOD)
    return true
  }

  /** Releases the memory on all holders and stops the renewals. */
  release (): void {
    if (this.#isReleased) return
    this.#isReleased = true
    if (this.#renewalTimer !== null) clearInterval(this.#renewalTimer)
    for (const holder of this.holders) void this.#releaseOn(holder)
  }

  async #reserveOn ({ server, tokens }: HolderReservation): Promise<boolean> {
    const result = await this.memory.reserve(server.address, this.id, tokens, RESERVATION_TTL)
    if (!result.ok) this.log.warn('memory.not_reserved', { reservation: this.id, server: server.id, tokens_held: tokens, reason: describeFailure(result.failure) })
    // An engine may make the reservation after release(): it would then reserve memory for an attempt that has ended.
    if (result.ok && this.#isReleased) await this.#releaseOn({ server, tokens })
    return result.ok
  }

  async #releaseOn ({ server }: HolderReservation): Promise<void> {
    const result = await this.memory.release(server.address, this.id)
    if (!result.ok) this.log.warn('memory.not_released', { reservation: this.id, server: server.id, reason: describeFailure(result.failure) })
  }
}
