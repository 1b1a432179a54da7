/** Sends a call to a plain service and buffers the answer: it is forwarded to the caller only when it is complete. */
import { Ran } from '@bluebellhill/domain'
import { BoundedBuffer, describeFailure, deriveRan, isHttpStatus } from '@bluebellhill/services'
import type { PlainService, ServiceResponse } from '@bluebellhill/services'

import { Attempt } from './Attempt.js'
import type { AttemptListener, AttemptSpec, AttemptFailure } from './Attempt.js'

/** An HTTP request as the caller sent it. */
export interface ServiceRequest {
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer
}

/** The complete answer of a plain service. */
export interface BufferedServiceAnswer {
  readonly status: number
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer
}

const HOP_BY_HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-authenticate', 'content-length'])

/** Sends one call to a plain service and reads the complete answer. */
export class ServiceAttempt extends Attempt {
  readonly #service: PlainService
  readonly #spec: AttemptSpec
  readonly #request: ServiceRequest
  readonly #listener: AttemptListener
  readonly #timeout: number
  readonly #bodyLimit: number
  readonly #onAnswer: (answer: BufferedServiceAnswer) => void
  readonly #controller = new AbortController()
  #hasEnded = false

  /**
   * @param service - client of the backend server that the dispatcher granted
   * @param spec - what to send and where
   * @param request - the HTTP request of the caller
   * @param listener - receives the events of the attempt
   * @param timeout - milliseconds until the deadline of the request
   * @param bodyLimit - maximum size of the answer body in bytes
   * @param onAnswer - called with the answer right before the listener's `completed`
   */
  constructor (service: PlainService, spec: AttemptSpec, request: ServiceRequest, listener: AttemptListener, timeout: number, bodyLimit: number, onAnswer: (answer: BufferedServiceAnswer) => void) {
    super()
    this.#service = service
    this.#spec = spec
    this.#request = request
    this.#listener = listener
    this.#timeout = timeout
    this.#bodyLimit = bodyLimit
    this.#onAnswer = onAnswer
  }

  async run (): Promise<void> {
    const result = await this.#service.call({
      ...this.#request,
      signal: this.#controller.signal,
      timeout: this.#timeout,
      idleTimeout: this.#timeout,
      onSending: () => this.#listener.sending(this.#spec.attempt)
    })
    if (!result.ok) {
      const { failure } = result
      const retryAfter = 'retryAfter' in failure ? failure.retryAfter : null
      return this.#fail({ started: deriveRan(failure), resumable: false, reason: describeFailure(failure), retryAfter })
    }
    await this.#readAnswer(result.value)
  }

  abort (): void {
    this.#hasEnded = true
    this.#controller.abort()
  }

  async #readAnswer (answer: ServiceResponse): Promise<void> {
    try {
      if (!isHttpStatus(answer.status)) throw new RangeError(`status ${answer.status} is none of HTTP`)
      const body = await this.#readBody(answer.body)
      if (this.#hasEnded) return
      this.#hasEnded = true
      this.#onAnswer({ status: answer.status, headers: endToEndHeaders(answer.headers), body })
      this.#listener.completed(this.#spec.attempt, { finishReason: 'stop', usage: { promptTokens: 0, completionTokens: 0 } })
    } catch (error) {
      this.#fail({ started: Ran.Yes, resumable: false, reason: `answer broke: ${error instanceof Error ? error.message : 'unknown'}`, retryAfter: null })
    }
  }

  async #readBody (body: AsyncIterable<Buffer>): Promise<Buffer> {
    const collected = new BoundedBuffer(this.#bodyLimit)
    for await (const chunk of body) {
      if (!collected.append(chunk)) throw new RangeError('answer over the limit')
    }
    return collected.take()
  }

  #fail (failure: AttemptFailure): void {
    if (this.#hasEnded) return
    this.abort()
    this.#listener.broken(this.#spec.attempt, failure)
  }
}

const endToEndHeaders = (headers: ServiceResponse['headers']): Record<string, string | string[]> => Object.fromEntries(
  Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !HOP_BY_HOP_HEADERS.has(entry[0].toLowerCase()))
)
