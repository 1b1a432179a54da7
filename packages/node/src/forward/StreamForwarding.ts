/** Forwards requests that are answered by a stream of server-sent events. */
import { AttemptEnd, nextEventTimeout, firstEventTimeout, mayRunAgain } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { encodeReturnedHeaders } from '@bluebellhill/platform'

import { MAX_EMPTY_BYTES, MAX_EVENT_BYTES, MAX_STREAM_BYTES, MAX_UNSENT_BYTES } from './backend/answerLimits.js'
import { EventSplitter } from './backend/EventSplitter.js'
import type { StreamEvent } from './backend/EventSplitter.js'
import { Forwarding } from './Forwarding.js'
import type { OpenAttempt } from './types.js'

/** Events of one attempt. */
interface ReceivedStream {
  readonly splitter: EventSplitter
  /** Complete events that are not passed on yet. */
  events: readonly StreamEvent[]
  /** With those of events that the caller had already. */
  bytes: number
  /** Bytes of comments and blank lines since the last event with content. */
  emptyBytes: number
}

/** Passes the events of a stream on to the caller, each one only when it is complete. */
export class StreamForwarding extends Forwarding {
  /** What has arrived of each attempt's stream: a silent one may go on after the head of another. */
  readonly #streams = new WeakMap<OpenAttempt, ReceivedStream>()
  #lastEventId: string | null = null
  #eventCount = 0
  #repeatedEventCount = 0
  #lastEventAt: Millis | null = null
  #longestPause: Millis = 0

  protected get lastEventId (): string | null {
    return this.#lastEventId ?? this.call.lastEventId
  }

  protected dataTimeout ({ head, placed }: OpenAttempt): Millis | null {
    const { route } = this.call
    if (placed === null || !mayRunAgain(route) || this.history.isExhausted) return null
    const { objective, pauseObjective } = route
    const bounds = { expected: placed.choice.timeToFirstEvent, objective, pauseObjective, reading: this.context.placement.prefillTime(this.call), holdsMemory: placed.choice.holders.length > 0 }
    return head === null ? firstEventTimeout(bounds) : nextEventTimeout(bounds)
  }

  protected successStarted (attempt: OpenAttempt): void {
    this.#streams.set(attempt, { splitter: new EventSplitter(), events: [], bytes: 0, emptyBytes: 0 })
  }

  protected chunkReceived (attempt: OpenAttempt, chunk: Buffer): boolean {
    const stream = this.#streams.get(attempt)
    if (stream === undefined) return false
    stream.bytes += chunk.length
    if (stream.bytes > MAX_STREAM_BYTES) {
      this.answerOversized(attempt, `a stream of more than ${MAX_STREAM_BYTES} bytes`)
      return false
    }
    const complete = stream.splitter.push(chunk)
    if (complete === null) {
      this.answerOversized(attempt, `an event of more than ${MAX_EVENT_BYTES} bytes`)
      return false
    }
    const hasGoneOn = complete.some(({ hasContent }) => hasContent)
    stream.emptyBytes = (hasGoneOn ? 0 : stream.emptyBytes) + emptyBytesAtEnd(complete)
    if (stream.emptyBytes > MAX_EMPTY_BYTES) {
      this.answerOversized(attempt, `more than ${MAX_EMPTY_BYTES} bytes of comments and blank lines`)
      return false
    }
    if (hasGoneOn) stream.events = complete
    else this.#passOnComments(attempt, complete)
    return hasGoneOn
  }

  protected answerContinued (attempt: OpenAttempt): void {
    const complete = this.#streams.get(attempt)?.events ?? []
    attempt.watch?.eventsReceived(complete.filter(({ hasContent }) => hasContent).length)
    const events = complete.filter((event) => this.#isNew(event))
    if (events.length === 0) return
    if (!attempt.hasFirstEvent && attempt.placed !== null) this.context.placement.prefillFinished(attempt.placed)
    attempt.hasFirstEvent = true
    this.#writeHead(attempt)
    this.recordFirstAnswer(attempt)
    this.#recordPause(attempt)
    for (const event of events) this.#countEvent(event)
    const bytes = Buffer.concat(events.map((event) => event.bytes))
    this.response.write(bytes)
    this.answerWritten(bytes.length)
    this.#checkCallerReads(attempt)
  }

  protected isAnswerWhole (attempt: OpenAttempt): boolean {
    return this.#streams.get(attempt)?.splitter.pendingBytes === 0 && this.#eventCount > 0
  }

  protected completeAnswer (attempt: OpenAttempt): boolean {
    if (!this.isAnswerWhole(attempt)) return false
    this.#writeHead(attempt)
    this.response.end()
    return true
  }

  protected attemptClosed (): void {}

  protected answerLogFields (): Record<string, unknown> {
    return { events: this.#eventCount, longest_pause_ms: Math.round(this.#longestPause), repeated_events: this.#repeatedEventCount || undefined }
  }

  /** Comments do not start the answer: the request could no longer be refused or sent again. */
  #passOnComments (attempt: OpenAttempt, comments: readonly StreamEvent[]): void {
    if (comments.length === 0 || this.attempt !== attempt || !this.hasStartedAnswer) return
    this.response.write(Buffer.concat(comments.map(({ bytes }) => bytes)))
    this.#checkCallerReads(attempt)
  }

  #writeHead ({ head }: OpenAttempt): void {
    if (this.hasStartedAnswer || head === null) return
    const headers = encodeReturnedHeaders(head.rawHeaders)
    const kept = headers.filter((_, index) => headers[index - index % 2]?.toLowerCase() !== 'content-length')
    this.response.writeHead(head.status, kept)
  }

  /** A pause in which this node does not read says nothing of the engine. */
  protected override serverHeld (): void {
    this.#lastEventAt = null
  }

  #recordPause ({ placed }: OpenAttempt): void {
    const now = this.context.clock()
    const pause = this.#lastEventAt === null ? null : now - this.#lastEventAt
    this.#lastEventAt = now
    if (pause === null) return
    this.#longestPause = Math.max(this.#longestPause, pause)
    if (placed !== null) this.context.placement.observePause(this.call, placed, pause)
  }

  #countEvent ({ id, hasContent }: StreamEvent): void {
    if (!hasContent) return
    this.#eventCount += 1
    if (id !== null) this.#lastEventId = id
  }

  /** A caller that does not read says nothing of the server. */
  #checkCallerReads (attempt: OpenAttempt): void {
    if (this.response.writableLength <= MAX_UNSENT_BYTES) return
    this.failAttempt(attempt, AttemptEnd.Oversized, `the caller has left more than ${MAX_UNSENT_BYTES} bytes unread`, null)
  }

  /** Counts repeated events: a server that resumes a stream may send events again that the caller already has. */
  #isNew ({ id }: StreamEvent): boolean {
    const lastEventId = this.lastEventId
    const isNew = id === null || lastEventId === null || !(Number(id) <= Number(lastEventId))
    if (!isNew) this.#repeatedEventCount += 1
    return isNew
  }
}

/** @returns bytes of the comments and blank lines behind the last event with content */
const emptyBytesAtEnd = (events: readonly StreamEvent[]): number =>
  events.slice(events.findLastIndex(({ hasContent }) => hasContent) + 1).reduce((sum, { bytes }) => sum + bytes.length, 0)
