/** Forwards requests that have a single answer instead of a stream of events. */
import { AttemptEnd, mayRunAgain } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { encodeReturnedHeaders } from '@bluebellhill/platform'
import { BoundedBuffer } from '@bluebellhill/services'

import { withContentLength } from './answerHeads.js'
import { MAX_COLLECTED_BYTES, MAX_PLAIN_ANSWER_BYTES } from './backend/answerLimits.js'
import { Forwarding } from './Forwarding.js'
import type { OpenAttempt } from './types.js'

/** Share of the time until the deadline after which an attempt without data is given up, if another attempt is allowed. */
const REMAINING_TIME_SHARE = 0.5

/** Collects the single answer of a request, and sends it to the caller when it is complete. */
export class PlainForwarding extends Forwarding {
  /** What has arrived of each attempt's answer: a silent one may go on after the head of another. */
  readonly #bodies = new Map<OpenAttempt, BoundedBuffer>()

  protected get lastEventId (): null {
    return null
  }

  protected dataTimeout ({ placed }: OpenAttempt): Millis | null {
    const { route, deadlineAt } = this.call
    if (placed === null || !mayRunAgain(route) || this.history.isExhausted) return null
    return Math.max(route.objective, REMAINING_TIME_SHARE * (deadlineAt - this.context.clock()))
  }

  protected successStarted (attempt: OpenAttempt): void {
    this.#bodies.set(attempt, new BoundedBuffer(MAX_PLAIN_ANSWER_BYTES, this.context.answerMemory))
  }

  protected chunkReceived (attempt: OpenAttempt, chunk: Buffer): boolean {
    const body = this.#bodies.get(attempt)
    if (body === undefined) return true
    if (!this.context.buffers.reserveAnswer(chunk.length)) {
      this.failAttempt(attempt, AttemptEnd.Oversized, 'the buffers of the node are full', null)
      return false
    }
    const lengthBefore = body.length
    if (body.append(chunk)) return true
    // A part of the chunk may have been added.
    this.context.buffers.releaseAnswer(chunk.length - (body.length - lengthBefore))
    this.answerOversized(attempt, `an answer of more than ${body.length} bytes, of ${MAX_PLAIN_ANSWER_BYTES} for one and ${MAX_COLLECTED_BYTES} for all`)
    return false
  }

  protected answerContinued (): void {}

  protected isAnswerWhole (): boolean {
    return true
  }

  protected completeAnswer (attempt: OpenAttempt): boolean {
    const { head } = attempt
    if (head === null) return false
    const body = this.#bodies.get(attempt)?.take() ?? Buffer.alloc(0)
    this.context.buffers.releaseAnswer(body.length)
    this.response.writeHead(head.status, withContentLength(encodeReturnedHeaders(head.rawHeaders), body.length))
    this.response.end(body)
    this.answerWritten(body.length)
    this.recordFirstAnswer(attempt)
    return true
  }

  protected attemptClosed (attempt: OpenAttempt): void {
    const body = this.#bodies.get(attempt)
    this.context.buffers.releaseAnswer(body?.length ?? 0)
    body?.clear()
    this.#bodies.delete(attempt)
  }

  protected answerLogFields (): Record<string, unknown> {
    return {}
  }
}
