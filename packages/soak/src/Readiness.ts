/** Asks nodes whether they are ready, as a balancer does, and tells which ones get requests. */
import { get } from 'node:http'

import { READINESS_PATH } from '@bluebellhill/platform'

import { PORT } from './constants.js'

const PERIOD_MS = 500
const TIMEOUT_MS = 1_000
const OK = 200

/** Questions in a row without a positive answer after which a node gets no requests. */
const MOST_FAILURES = 2

/**
 * @param host - address of a node
 * @param timeoutMs - how long to wait for an answer
 * @returns whether it says that it is ready
 */
export const isReady = async (host: string, timeoutMs: number): Promise<boolean> => await new Promise((resolve) => {
  const request = get({ host, port: PORT.readiness, path: READINESS_PATH, agent: false, timeout: timeoutMs }, (response) => {
    response.resume()
    resolve(response.statusCode === OK)
  })
  request.once('timeout', () => request.destroy())
  request.once('error', () => resolve(false))
})

interface CheckedNode {
  readonly host: string
  failures: number
  /** Time of the first positive answer since the last reset; null before. */
  readySince: number | null
}

/** Checks all nodes until it is disposed of. */
export class Readiness {
  readonly #nodes: CheckedNode[]
  readonly #timer: NodeJS.Timeout

  /**
   * @param hosts - addresses of the nodes
   * @param onReady - called with the index of a node at its first positive answer since the last reset
   */
  constructor (hosts: readonly string[], private readonly onReady: (index: number) => void = () => {}) {
    this.#nodes = hosts.map((host) => ({ host, failures: MOST_FAILURES, readySince: null }))
    this.#timer = setInterval(() => this.#check(), PERIOD_MS)
  }

  /** Indexes of the nodes that get requests. */
  get ready (): number[] {
    return this.#nodes.flatMap(({ failures }, index) => failures < MOST_FAILURES ? [index] : [])
  }

  /** Times of the first positive answers since the last reset; null for nodes without one. */
  get readyTimes (): Array<number | null> {
    return this.#nodes.map(({ readySince }) => readySince)
  }

  /** Forgets when nodes were ready. */
  reset (): void {
    for (const node of this.#nodes) node.readySince = null
  }

  dispose (): void {
    clearInterval(this.#timer)
  }

  #check (): void {
    for (const [index, node] of this.#nodes.entries()) void this.#checkNode(index, node)
  }

  async #checkNode (index: number, node: CheckedNode): Promise<void> {
    const askedAt = performance.now()
    if (!await isReady(node.host, TIMEOUT_MS)) {
      node.failures += 1
      return
    }
    node.failures = 0
    if (node.readySince !== null) return
    node.readySince = askedAt
    this.onReady(index)
  }
}
