/** Requests that end each backend server that runs them, and come again at one node after the other. */
import { setTimeout as sleep } from 'node:timers/promises'

import { Caller } from './Callers.js'
import { KEPT_KEY } from './constants.js'
import type { Exchange, RequestKind } from './types.js'

/** A request that is repeated. */
export interface Repetition {
  readonly kind: RequestKind
  /** Last part of its path. */
  readonly name: string
  readonly gapMs: number
  /** Whether a server that it ended comes back under the same id, and after how many milliseconds. */
  readonly keepsId: boolean
  readonly downMs: number
}

/** A node that callers reach. */
export interface CallerTarget {
  readonly index: number
  readonly host: string
}

/** Sends deadly requests, and tells servers which ones they are. */
export class DeadlyRequests {
  /** Paths of all requests that end servers. */
  readonly paths = new Set<string>()
  /** How the servers that it ended come back; null before the first repetition. */
  recovery: Pick<Repetition, 'keepsId' | 'downMs'> | null = null
  readonly #callers: Caller[] = []

  /** What the callers of deadly requests saw. */
  get exchanges (): Exchange[] {
    return this.#callers.flatMap(({ exchanges }) => exchanges)
  }

  /**
   * Sends a request to one node after the other.
   *
   * @param repetition - the request
   * @param nodes - the nodes
   * @param until - time of the last one; milliseconds on the process's monotonic clock
   */
  async repeat (repetition: Repetition, nodes: readonly CallerTarget[], until: number): Promise<void> {
    const { kind, name, gapMs } = repetition
    const callers = nodes.map(({ index, host }) => new Caller(`${name}-${index}`, index, host, index))
    this.#callers.push(...callers)
    this.recovery = repetition
    const path = Caller.pathOf(kind, name)
    this.paths.add(path)
    const calls: Array<Promise<Exchange>> = []
    for (let turn = 0; performance.now() < until; turn += 1) {
      calls.push(callers[turn % callers.length]!.send(kind, KEPT_KEY, path))
      await sleep(gapMs)
    }
    await Promise.all(calls)
    for (const caller of callers) caller.dispose()
  }
}
