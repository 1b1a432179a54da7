/** Learns how long the servers of plain services take for a request, and predicts it from their requests in progress. */
import type { Millis, RunnerId } from '../types.js'
import type { BackendServer } from './types.js'

/** Weight that an earlier observation keeps at a new one, if both follow each other at once. */
const KEPT_WEIGHT = 0.8

/** Time after which half of the difference between a server and the others is forgotten: a slow server without requests is tried again, and so a recovery is found. */
const HALF_LIFE: Millis = 2_000

interface Level {
  /** Time of one request at a server with no others. */
  time: Millis
  observedAt: Millis
}

/** Observed service times. */
export class ServiceTimes {
  readonly #levels = new Map<RunnerId, Level>()

  /**
   * Records a complete answer.
   *
   * @param server - the backend server
   * @param inProgress - number of its requests when the answer was complete, this one included
   * @param time - time from the sending of the request to the end of the answer
   * @param now - current time
   */
  observe ({ id }: BackendServer, inProgress: number, time: Millis, now: Millis): void {
    if (!Number.isFinite(time) || time <= 0) return
    const before = this.#levels.get(id)
    const kept = before === undefined ? 0 : KEPT_WEIGHT * 2 ** (-(now - before.observedAt) / HALF_LIFE)
    const unloaded = time
    this.#levels.set(id, { time: kept * (before?.time ?? 0) + (1 - kept) * unloaded, observedAt: now })
  }

  /**
   * @param servers - servers of one service, with the requests in progress at each
   * @param now - current time
   * @returns expected time of one more request at each; equal for servers that nothing is known of
   */
  expected (servers: ReadonlyArray<{ readonly server: BackendServer, readonly inProgress: number }>, now: Millis): Millis[] {
    const known = servers.flatMap(({ server }) => this.#levels.get(server.id)?.time ?? []).sort((a, b) => a - b)
    const usual = known[Math.floor((known.length - 1) / 2)] ?? 1
    return servers.map(({ server, inProgress }) => this.#level(server.id, usual, now) * loadFactor(inProgress + 1, server.slots))
  }

  /**
   * Discards what is known of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    this.#levels.delete(id)
  }

  #level (id: RunnerId, usual: Millis, now: Millis): Millis {
    const level = this.#levels.get(id)
    return level === undefined ? usual : usual + (level.time - usual) * 2 ** (-(now - level.observedAt) / HALF_LIFE)
  }
}

/** Servers are assumed to slow down near full, so that the last slots are used once the other servers are as slow; beyond its slots requests wait for each other. */
const loadFactor = (load: number, slots: number): number =>
  Math.max(1, load / slots) * (1 + (slots < 2 ? 0 : (Math.min(load, slots) - 1) / (slots - 1)) ** 2)
