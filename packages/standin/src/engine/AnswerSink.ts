/** Where an answer's text goes. */
import type { ServerResponse } from 'node:http'

import type { Disposable } from '../Disposables.js'

/** Receives the events of one answer. */
export abstract class AnswerSink implements Disposable {
  /** Whether the reader keeps up. */
  abstract get ready (): boolean
  /**
   * Sends text.
   *
   * @param text - whole events
   */
  abstract write (text: string): void
  /**
   * Ends the answer in good order.
   *
   * @param text - last events
   */
  abstract end (text: string): void
  /**
   * Sends text and then cuts the connection.
   *
   * @param text - last events that arrive
   */
  abstract cut (text: string): void
  /** Cuts the connection. */
  abstract dispose (): void
}

const EVENT_STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' }

/** Writes server-sent events to an HTTP response. */
export class EventStreamSink extends AnswerSink {
  /**
   * @param response - the open response
   */
  constructor (private readonly response: ServerResponse) {
    super()
    response.writeHead(200, EVENT_STREAM_HEADERS)
    response.flushHeaders()
  }

  override get ready (): boolean {
    return !this.response.writableNeedDrain
  }

  override write (text: string): void {
    this.response.write(text)
  }

  override end (text: string): void {
    this.response.end(text)
  }

  override cut (text: string): void {
    this.response.write(text, () => this.response.destroy())
  }

  override dispose (): void {
    this.response.destroy()
  }
}
