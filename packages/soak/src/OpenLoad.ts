/** Callers of a large fleet: requests come at a steady rate, each at a node that says that it is ready, on kept connections. */
import { setTimeout as sleep } from 'node:timers/promises'

import { Caller } from './Callers.js'
import type { RequestShape } from './Callers.js'
import { KEPT_KEY } from './constants.js'
import type { CallerTarget } from './DeadlyRequests.js'
import { Random } from './Random.js'
import { RequestKind } from './types.js'
import type { Exchange } from './types.js'

const MS_PER_SECOND = 1_000

interface LoadKind extends RequestShape {
  readonly perSecond: number
  readonly kind: RequestKind
  readonly path: string
}

const KINDS: readonly LoadKind[] = [
  { perSecond: 47.1, kind: RequestKind.Stream, path: '/stream/short/', deadline: 10_000, promptSize: '5000,1488' },
  { perSecond: 5.6, kind: RequestKind.Stream, path: '/stream/long/', deadline: 10_000, promptSize: '45040,864' },
  { perSecond: 2, kind: RequestKind.Stream, path: '/stream/longest/', deadline: 15_000, promptSize: '190040,720' },
  { perSecond: 7.7, kind: RequestKind.Unsafe, path: '/unsafe/', deadline: 1_553 },
  { perSecond: 1.8, kind: RequestKind.Safe, path: '/safe/', deadline: 1_564 }
]

/** One request. */
export interface LoadedRequest {
  /** Milliseconds on the process's monotonic clock. */
  readonly sentAt: number
  /** Null if no node was ready, or as long as there is no end. */
  exchange: Exchange | null
  readonly hadNode: boolean
}

/** Sends until `stop`. */
export class OpenLoad {
  readonly requests: LoadedRequest[] = []
  readonly #random: Random
  /** Callers without a request in progress, by node. */
  readonly #idle = new Map<number, Caller[]>()
  readonly #open = new Set<Promise<void>>()
  #callers = 0
  #isStopped = false

  /**
   * @param nodes - addresses of the nodes
   * @param ready - returns the indexes of the nodes that get requests
   * @param seed - of the choices
   * @param rate - part of the usual rate of requests
   */
  constructor (private readonly nodes: readonly CallerTarget[], private readonly ready: () => readonly number[], private readonly seed: number, private readonly rate: number) {
    this.#random = new Random(seed)
  }

  /** Sends until `stop`, and waits for the ends of all requests. */
  async run (): Promise<void> {
    const startedAt = performance.now()
    const due = KINDS.map(({ perSecond }) => this.#random.between(0, MS_PER_SECOND) / (perSecond * this.rate))
    while (!this.#isStopped) {
      const elapsed = performance.now() - startedAt
      for (const [index, kind] of KINDS.entries()) {
        for (; (due[index] ?? Infinity) <= elapsed; due[index]! += MS_PER_SECOND / (kind.perSecond * this.rate)) this.#send(kind)
      }
      await sleep(1)
    }
    await Promise.all(this.#open)
    for (const callers of this.#idle.values()) for (const caller of callers) caller.dispose()
  }

  stop (): void {
    this.#isStopped = true
  }

  #send (kind: LoadKind): void {
    const ready = this.ready()
    const request: LoadedRequest = { sentAt: performance.now(), exchange: null, hadNode: ready.length > 0 }
    this.requests.push(request)
    if (!request.hadNode) return
    const done = this.#exchange(kind, this.#random.pick(ready), request).finally(() => this.#open.delete(done))
    this.#open.add(done)
  }

  async #exchange ({ kind, path, ...shape }: LoadKind, node: number, request: LoadedRequest): Promise<void> {
    const idle = this.#idle.get(node) ?? []
    this.#idle.set(node, idle)
    const caller = idle.pop() ?? this.#addCaller(node)
    request.exchange = await caller.send(kind, KEPT_KEY, `${path}${this.requests.length}`, shape)
    idle.push(caller)
  }

  #addCaller (node: number): Caller {
    const host = this.nodes[node]?.host ?? ''
    return new Caller(`l${node}.${this.#callers++}`, node, host, this.seed)
  }
}
