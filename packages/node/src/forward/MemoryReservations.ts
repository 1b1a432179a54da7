/** Memory of other engines that one attempt has reserved. */
import type { HeldMemory, Millis } from '@bluebellhill/domain'
import type { EngineMemory } from '@bluebellhill/platform'
import { describeFailure } from '@bluebellhill/services'

import type { Log } from '../log/index.js'

/** Time after which a reservation ends unless renewed: short, so that nothing stays set aside when this node dies. */
const RESERVATION_TTL: Millis = 3_000

/** Interval at which reservations are renewed. */
const RENEWAL_PERIOD: Millis = 1_000

/** Memory set aside from before the request is sent until after it has ended. */
export class MemoryReservations {
  #renewalTimer: NodeJS.Timeout | null = null
  #isReleased = false

  /**
   * @param id - name of the reservations, unique over all attempts
   * @param holders - where how much is reserved
   * @param memory - orders the engines
   * @param log - gets a line for each order that fails
   */
  constructor (readonly id: string, private readonly holders: readonly HeldMemory[], private readonly memory: EngineMemory, private readonly log: Log) {}

  /** @returns whether all memory is reserved; where it is not, nothing stays reserved */
  async acquire (): Promise<boolean> {
    const results = await Promise.all(this.holders.map((holder) => this.#reserveOn(holder)))
    if (this.#isReleased) return false
    if (results.includes(false)) {
      this.release()
      return false
    }
    this.#renewalTimer = setInterval(() => { for (const holder of this.holders) void this.#reserveOn(holder) }, RENEWAL_PERIOD)
    return true
  }

  /** Gives the memory back. */
  release (): void {
    if (this.#isReleased) return
    this.#isReleased = true
    if (this.#renewalTimer !== null) clearInterval(this.#renewalTimer)
    for (const holder of this.holders) void this.#releaseOn(holder)
  }

  async #reserveOn ({ server, tokens }: HeldMemory): Promise<boolean> {
    const result = await this.memory.reserve(server.address, this.id, tokens, RESERVATION_TTL)
    if (!result.ok) this.log.warn('memory.not_reserved', { reservation: this.id, server: server.id, tokens_held: tokens, reason: describeFailure(result.failure) })
    // An order that arrives after the end would set memory aside for nobody.
    if (result.ok && this.#isReleased) await this.#releaseOn({ server, tokens })
    return result.ok
  }

  async #releaseOn ({ server }: HeldMemory): Promise<void> {
    const result = await this.memory.release(server.address, this.id)
    if (!result.ok) this.log.warn('memory.not_released', { reservation: this.id, server: server.id, reason: describeFailure(result.failure) })
  }
}
