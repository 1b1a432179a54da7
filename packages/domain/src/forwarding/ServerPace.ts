/** Learns from the pauses of streams which engines are slower than they are published to be. */
import type { Millis, RunnerId } from '../types.js'

/** Pauses that are looked at together. */
const PAUSES = 6

/** A pause is longer than a pass for many reasons; an engine is slow where even its shortest pauses are this many times as long. */
const SLOW_FROM = 1.8

/** Time after which what was learnt is forgotten, so that the engine is tried again. */
const MEMORY: Millis = 3_000

interface Pace {
  readonly ratios: number[]
  seenAt: Millis
}

/** Knows how many times slower than published each engine is. */
export class ServerPace {
  readonly #paces = new Map<RunnerId, Pace>()

  /**
   * Takes the pause between two events of a stream in.
   *
   * @param id - the engine
   * @param pause - how long it was
   * @param pass - length of a pass of a sound engine that writes for this stream only
   * @param now - time
   */
  observe (id: RunnerId, pause: Millis, pass: Millis, now: Millis): void {
    const pace = this.#paces.get(id) ?? { ratios: [], seenAt: now }
    this.#paces.set(id, pace)
    pace.seenAt = now
    pace.ratios.push(pause / pass)
    if (pace.ratios.length > PAUSES) pace.ratios.shift()
  }

  /**
   * @param id - the engine
   * @param now - time
   * @returns 1 for a sound engine, and for one of which nothing is known
   */
  slowdown (id: RunnerId, now: Millis): number {
    const pace = this.#paces.get(id)
    if (pace === undefined || pace.ratios.length < PAUSES || now - pace.seenAt > MEMORY) return 1
    const least = Math.min(...pace.ratios)
    return least < SLOW_FROM ? 1 : least
  }

  /**
   * Forgets an engine that has gone or started again.
   *
   * @param id - the engine
   */
  forget (id: RunnerId): void {
    this.#paces.delete(id)
  }
}
