/** Callers that reuse their connections and record the answers. */
import { Agent, request as httpRequest } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import { HeaderName } from '@bluebellhill/platform'
import { encodePromptParts } from '@bluebellhill/platform-standin'

import { HOST, KEPT_KEY, PORT } from './constants.js'
import type { PromptParts } from './PromptParts.js'
import { Random } from './Random.js'
import { RequestKind } from './types.js'
import type { Exchange } from './types.js'

/** Milliseconds. */
const DEADLINES: Readonly<Record<RequestKind, number>> = {
  [RequestKind.Safe]: 1_500,
  [RequestKind.Unsafe]: 1_500,
  [RequestKind.Stream]: 3_000,
  [RequestKind.Leaving]: 1_500
}

const LONGEST_PAUSE_MS = 120
const LEAVES_AFTER_MS = 8

/** How long a caller waits beyond its deadline before it ends the connection itself. */
const GIVES_UP_AFTER_MS = 3_000

const PROMPT_SIZE = '5000,400'

/** What a request is like where it differs from the usual one of its kind. */
export interface RequestShape {
  readonly deadline?: number
  /** Tokens of the prompt and most tokens of the answer. */
  readonly promptSize?: string
}

const KINDS = [RequestKind.Safe, RequestKind.Safe, RequestKind.Unsafe, RequestKind.Unsafe, RequestKind.Stream, RequestKind.Leaving]

const PATHS: Readonly<Record<RequestKind, string>> = {
  [RequestKind.Safe]: '/safe/',
  [RequestKind.Unsafe]: '/unsafe/',
  [RequestKind.Stream]: '/stream/',
  [RequestKind.Leaving]: '/safe/'
}

/** Sends one request after another to one node until it is stopped. */
export class Caller {
  readonly exchanges: Exchange[] = []
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 })
  readonly #random: Random
  readonly #partsRandom: Random
  #stopped = false

  /**
   * @param name - start of the ids of its requests
   * @param node - index of the node
   * @param host - address of the node
   * @param seed - of its choices
   * @param promptParts - parts of its prompts; null if it sends no streams
   */
  constructor (private readonly name: string, private readonly node: number, private readonly host: string, seed: number, private readonly promptParts: PromptParts | null = null) {
    this.#random = new Random(seed)
    this.#partsRandom = new Random(seed)
  }

  /** @returns the path of a request of a kind with this last part */
  static pathOf (kind: RequestKind, name: string): string {
    return `${PATHS[kind]}${name}`
  }

  /** Sends until `stop`. */
  async run (): Promise<void> {
    while (!this.#stopped) {
      await this.send(this.#random.pick(KINDS))
      await sleep(this.#random.between(0, LONGEST_PAUSE_MS))
    }
  }

  stop (): void {
    this.#stopped = true
  }

  dispose (): void {
    this.#agent.destroy()
  }

  /**
   * Sends one request and waits for what comes of it.
   *
   * @param kind - what is sent
   * @param key - API key
   * @param path - path of the request; by default one that no other request has
   * @param shape - what the request is like
   * @returns what the caller saw
   */
  async send (kind: RequestKind, key = KEPT_KEY, path?: string, { deadline = DEADLINES[kind], promptSize = PROMPT_SIZE }: RequestShape = {}): Promise<Exchange> {
    const id = `${this.name}-${this.exchanges.length}`
    const parts = kind === RequestKind.Stream ? this.promptParts?.draw(this.#partsRandom) ?? [] : []
    const exchange: Exchange = { id, kind, path: path ?? Caller.pathOf(kind, id), parts, node: this.node, sentAt: performance.now(), writtenAt: null, deadline, endedAt: null, status: null, body: '', whole: false, left: false, error: '', gaveUp: false }
    this.exchanges.push(exchange)
    await this.#exchange(exchange, key, promptSize)
    exchange.endedAt = performance.now()
    return exchange
  }

  async #exchange (exchange: Exchange, key: string, promptSize: string): Promise<void> {
    const { id, kind, path, parts, deadline } = exchange
    const request = httpRequest({
      host: this.host,
      port: PORT.callers,
      method: kind === RequestKind.Safe || kind === RequestKind.Leaving ? 'GET' : 'POST',
      path,
      agent: this.#agent,
      headers: {
        host: HOST,
        authorization: `Bearer ${key}`,
        [HeaderName.AttemptId]: id,
        [HeaderName.Deadline]: String(deadline),
        ...(kind === RequestKind.Stream ? { [HeaderName.PromptSize]: promptSize, [HeaderName.PromptParts]: encodePromptParts(parts) } : {})
      }
    })
    request.once('socket', () => { exchange.writtenAt = performance.now() })
    const ended = new Promise<void>((resolve) => {
      request.once('response', (response) => { void read(exchange, response).then(resolve) })
      request.once('error', (error) => {
        exchange.error = error.message
        resolve()
      })
    })
    request.end(kind === RequestKind.Unsafe ? 'order' : undefined)
    const timers = [setTimeout(() => giveUp(exchange, request), deadline + GIVES_UP_AFTER_MS)]
    if (kind === RequestKind.Leaving) timers.push(setTimeout(() => leave(exchange, request), LEAVES_AFTER_MS))
    await ended
    for (const timer of timers) clearTimeout(timer)
  }
}

const leave = (exchange: Exchange, request: ClientRequest): void => {
  exchange.left = true
  request.destroy(new Error('left'))
}

const giveUp = (exchange: Exchange, request: ClientRequest): void => {
  exchange.gaveUp = true
  request.destroy(new Error('no end came'))
}

const read = async (exchange: Exchange, response: IncomingMessage): Promise<void> => {
  exchange.status = response.statusCode ?? null
  try {
    for await (const piece of response) exchange.body += String(piece)
    exchange.whole = response.complete
  } catch (error) {
    exchange.error = error instanceof Error ? error.message : String(error)
  }
}
