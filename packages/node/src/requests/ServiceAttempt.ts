/** A call to a plain service. The answer is passed on only when it is whole. */
import { Ran } from '@bluebellhill/domain'
import { describeFailure, deriveRan } from '@bluebellhill/services'
import type { PlainService, ServiceResponse } from '@bluebellhill/services'

import { Attempt } from './Attempt.js'
import type { AttemptListener, AttemptOrder, Break } from './Attempt.js'

/** A call as the caller made it. */
export interface ServiceCallBody {
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer
}

/** A plain service's answer, whole. */
export interface WholeServiceAnswer {
  readonly status: number
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer
}

const HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-authenticate', 'content-length'])

/** Sends one call and reads its answer. */
export class ServiceAttempt extends Attempt {
  readonly #service: PlainService
  readonly #order: AttemptOrder
  readonly #call: ServiceCallBody
  readonly #listener: AttemptListener
  readonly #timeout: number
  readonly #bodyLimit: number
  readonly #whole: (answer: WholeServiceAnswer) => void
  readonly #controller = new AbortController()
  #ended = false

  /**
   * @param service - the backend server that was granted
   * @param order - the try
   * @param call - what the caller sent
   * @param listener - told how it went
   * @param timeout - milliseconds that are left to the request
   * @param bodyLimit - the longest answer in bytes
   * @param whole - takes the answer right before the attempt is reported as completed
   */
  constructor (service: PlainService, order: AttemptOrder, call: ServiceCallBody, listener: AttemptListener, timeout: number, bodyLimit: number, whole: (answer: WholeServiceAnswer) => void) {
    super()
    this.#service = service
    this.#order = order
    this.#call = call
    this.#listener = listener
    this.#timeout = timeout
    this.#bodyLimit = bodyLimit
    this.#whole = whole
  }

  async run (): Promise<void> {
    const result = await this.#service.call({
      ...this.#call,
      signal: this.#controller.signal,
      timeout: this.#timeout,
      idleTimeout: this.#timeout,
      onSending: () => this.#listener.sending(this.#order.attempt)
    })
    if (!result.ok) {
      const { failure } = result
      const retryAfter = 'retryAfter' in failure ? failure.retryAfter : null
      return this.#break({ started: deriveRan(failure), resumable: false, reason: describeFailure(failure), retryAfter })
    }
    await this.#readWhole(result.value)
  }

  abort (): void {
    this.#ended = true
    this.#controller.abort()
  }

  async #readWhole (answer: ServiceResponse): Promise<void> {
    try {
      const body = await this.#collect(answer.body)
      if (this.#ended) return
      this.#ended = true
      this.#whole({ status: answer.status, headers: endToEndHeaders(answer.headers), body })
      this.#listener.completed(this.#order.attempt, { finishReason: 'stop', usage: { promptTokens: 0, completionTokens: 0 } })
    } catch (error) {
      this.#break({ started: Ran.Yes, resumable: false, reason: `answer broke: ${error instanceof Error ? error.message : 'unknown'}`, retryAfter: null })
    }
  }

  async #collect (body: AsyncIterable<Buffer>): Promise<Buffer> {
    const pieces: Buffer[] = []
    let length = 0
    for await (const piece of body) {
      length += piece.length
      if (length > this.#bodyLimit) throw new RangeError('answer over the limit')
      pieces.push(piece)
    }
    return Buffer.concat(pieces, length)
  }

  #break (reason: Break): void {
    if (this.#ended) return
    this.abort()
    this.#listener.broken(this.#order.attempt, reason)
  }
}

const endToEndHeaders = (headers: ServiceResponse['headers']): Record<string, string | string[]> => Object.fromEntries(
  Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !HOP_HEADERS.has(entry[0].toLowerCase()))
)
