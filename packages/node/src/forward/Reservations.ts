/** Memory of other engines that one attempt has reserved. */
import type { HolderReservation, Millis } from '@bluebellhill/domain'
import type { EngineMemoryClient } from '@bluebellhill/platform'
import { describeFailure } from '@bluebellhill/services'

import type { Log } from '../log/index.js'

/** Time after which a reservation ends unless renewed: short, so that nothing stays set aside when this node dies. */
const HOLD: Millis = 3_000

/** Interval at which reservations are renewed. */
const RENEWAL_PERIOD: Millis = 1_000

/** Memory set aside from before the request is sent until after it has ended. */
export class Reservations {
  #renewal: NodeJS.Timeout | null = null
  #ended = false

  /**
   * @param id - name of the reservations, unique over all attempts
   * @param holders - where how much is reserved
   * @param memory - orders the engines
   * @param log - gets a line for each order that fails
   */
  constructor (readonly id: string, private readonly holders: readonly HolderReservation[], private readonly memory: EngineMemoryClient, private readonly log: Log) {}

  /** @returns whether all memory is reserved; where it is not, nothing stays reserved */
  async take (): Promise<boolean> {
    const taken = await Promise.all(this.holders.map((holder) => this.#reserve(holder)))
    if (this.#ended) return false
    if (taken.includes(false)) {
      this.end()
      return false
    }
    this.#renewal = setInterval(() => { for (const holder of this.holders) void this.#reserve(holder) }, RENEWAL_PERIOD)
    return true
  }

  /** Gives the memory back. */
  end (): void {
    if (this.#ended) return
    this.#ended = true
    if (this.#renewal !== null) clearInterval(this.#renewal)
    for (const holder of this.holders) void this.#release(holder)
  }

  async #reserve ({ server, tokens }: HolderReservation): Promise<boolean> {
    const result = await this.memory.reserve(server.address, this.id, tokens, HOLD)
    if (!result.ok) this.log.warn('memory.not_reserved', { reservation: this.id, server: server.id, tokens_held: tokens, reason: describeFailure(result.failure) })
    // An order that arrives after the end would set memory aside for nobody.
    if (result.ok && this.#ended) await this.#release({ server, tokens })
    return result.ok
  }

  async #release ({ server }: HolderReservation): Promise<void> {
    const result = await this.memory.release(server.address, this.id)
    if (!result.ok) this.log.warn('memory.not_released', { reservation: this.id, server: server.id, reason: describeFailure(result.failure) })
  }
}
