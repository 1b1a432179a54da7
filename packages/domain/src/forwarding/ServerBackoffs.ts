/** Tracks the backend servers that have asked this node to send no requests for some time. */
import type { Millis, RunnerId } from '../types.js'

/** Longest part of the requested time that is added to it, so that the nodes do not all return at the same moment. */
const SPREAD_SHARE = 0.25

/** Upper bound of what is added. */
const MAX_SPREAD: Millis = 1_000

/** Backend servers that this node must not send requests to for some time; other nodes may. */
export class ServerBackoffs {
  readonly #endTimes = new Map<RunnerId, Millis>()

  /**
   * Records that a server has asked for a pause. An earlier request for a longer one stays in force.
   *
   * @param server - the backend server
   * @param pause - requested time without requests
   * @param spread - random number from 0 to 1: this part of the longest addition is added
   * @param now - current time
   */
  record (server: RunnerId, pause: Millis, spread: number, now: Millis): void {
    const end = now + pause + spread * Math.min(MAX_SPREAD, SPREAD_SHARE * pause)
    this.#endTimes.set(server, Math.max(end, this.#endTimes.get(server) ?? end))
  }

  /**
   * @param server - a backend server
   * @param now - current time
   * @returns time for which it gets no requests; 0 if it may get some
   */
  remaining (server: RunnerId, now: Millis): Millis {
    return Math.max(0, (this.#endTimes.get(server) ?? now) - now)
  }

  /**
   * @param now - current time
   * @returns the servers that get no requests now
   */
  active (now: Millis): RunnerId[] {
    for (const [server, end] of this.#endTimes) if (end <= now) this.#endTimes.delete(server)
    return [...this.#endTimes.keys()]
  }

  /**
   * Discards the pause of a server that was removed or has restarted.
   *
   * @param server - the backend server
   */
  remove (server: RunnerId): void {
    this.#endTimes.delete(server)
  }
}
