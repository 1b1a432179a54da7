/** Pauses the body of a request that comes in small pieces, so that other connections get their turn. */
import type { IncomingMessage } from 'node:http'

import type { Millis } from '@bluebellhill/domain'

import { monotonicNow } from '../../clock/monotonic.js'
import { TURN_TIME } from '../ReadTurns.js'
import type { PlannedTurn, ReadTurns } from '../ReadTurns.js'

/** Pieces after which the time is looked up: fewer take no time that matters. */
const PIECES_PER_CHECK = 64

/** Longest time that reading a piece takes. What seems longer is a pause of the process, which says nothing of the body. */
const MAX_TIME_PER_PIECE: Millis = 0.02

/** Turns of one body. */
export class BodyTurns {
  /** Pieces of this turn. */
  #pieces = 0
  /** Null before the first piece of a turn. */
  #startedAt: Millis | null = null
  #nextTurn: PlannedTurn | null = null

  /**
   * @param request - the request whose body is read
   * @param turns - turns of all connections
   */
  constructor (private readonly request: IncomingMessage, private readonly turns: ReadTurns) {
    request.once('close', () => this.end())
  }

  /** Ends the turns: the request is not resumed any more. */
  end (): void {
    this.#nextTurn?.cancel()
  }

  /** Records that a piece has been read; the turn ends if it has taken long. */
  received (): void {
    if (this.#startedAt === null) this.#startTurn()
    this.#pieces += 1
    if (this.#pieces % PIECES_PER_CHECK !== 0 || this.#startedAt === null) return
    const took = Math.min(monotonicNow() - this.#startedAt, this.#pieces * MAX_TIME_PER_PIECE)
    if (took > TURN_TIME) this.#pause(took)
  }

  #startTurn (): void {
    this.#startedAt = monotonicNow()
    this.#pieces = 0
    setImmediate(() => { if (this.#nextTurn === null) this.#startedAt = null })
  }

  #pause (took: Millis): void {
    if (this.#nextTurn !== null) return
    this.request.pause()
    this.#nextTurn = this.turns.plan(took, () => {
      this.#nextTurn = null
      this.#startedAt = null
      this.request.resume()
    })
  }
}
