import { nextEventTimeout, firstEventTimeout, mayRunAgain } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { encodeReturnedHeaders } from '@bluebellhill/platform'

import { EventSplitter } from './backend/EventSplitter.js'
import type { StreamEvent } from './backend/EventSplitter.js'
import { Forwarding } from './Forwarding.js'
import type { OpenAttempt } from './types.js'

/** A request that is answered by a stream of events; the caller gets whole events only. */
export class StreamForwarding extends Forwarding {
  #splitter = new EventSplitter()
  #lastEventId: string | null = null
  #events = 0
  #repeated = 0
  #lastEventAt: Millis | null = null
  #longestPause: Millis = 0

  protected get lastEventId (): string | null {
    return this.#lastEventId ?? this.call.lastEventId
  }

  protected patience ({ head, choice }: OpenAttempt): Millis | null {
    const { route } = this.call
    if (!mayRunAgain(route) || this.history.isExhausted) return null
    const { objective, pauseObjective } = route
    const bounds = { expected: choice.timeToFirstEvent, objective, pauseObjective, reading: this.context.dispatch.reading(this.call) }
    return head === null ? firstEventTimeout(bounds) : nextEventTimeout(bounds)
  }

  protected begun (): void {
    this.#splitter = new EventSplitter()
  }

  protected piece (attempt: OpenAttempt, piece: Buffer): void {
    const events = this.#splitter.push(piece).filter((event) => this.#isNew(event))
    if (events.length === 0) return
    if (!attempt.isRead) this.context.dispatch.firstEvent(attempt.work)
    attempt.isRead = true
    this.#writeHead(attempt)
    this.answered(attempt)
    this.#measure(attempt)
    for (const event of events) this.#pass(event)
  }

  protected complete (attempt: OpenAttempt): boolean {
    if (this.#splitter.pendingBytes > 0 || this.#events === 0) return false
    this.#writeHead(attempt)
    this.response.end()
    return true
  }

  protected summary (): Record<string, unknown> {
    return { events: this.#events, longest_pause_ms: Math.round(this.#longestPause), repeated_events: this.#repeated || undefined }
  }

  #writeHead ({ head }: OpenAttempt): void {
    if (this.answering || head === null) return
    const headers = encodeReturnedHeaders(head.rawHeaders)
    const kept = headers.filter((_, index) => headers[index - index % 2]?.toLowerCase() !== 'content-length')
    this.response.writeHead(head.status, kept)
  }

  #measure ({ server }: OpenAttempt): void {
    const now = this.context.clock()
    const pause = this.#lastEventAt === null ? null : now - this.#lastEventAt
    this.#lastEventAt = now
    if (pause === null) return
    this.#longestPause = Math.max(this.#longestPause, pause)
    this.context.dispatch.observePause(this.call, server, pause)
  }

  #pass ({ bytes, id }: StreamEvent): void {
    this.#events += 1
    if (id !== null) this.#lastEventId = id
    this.response.write(bytes)
  }

  /** A server that resumes a stream may repeat what the caller has. */
  #isNew ({ id }: StreamEvent): boolean {
    const last = this.lastEventId
    const isNew = id === null || last === null || !(Number(id) <= Number(last))
    if (!isNew) this.#repeated += 1
    return isNew
  }
}
