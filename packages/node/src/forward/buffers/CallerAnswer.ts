/** The answer to one caller, as far as it counts against the buffers of the node. */
import type { ServerResponse } from 'node:http'

import type { AnswerAccount } from './types.js'

export interface CallerAnswerOptions {
  readonly buffers: AnswerAccount<CallerAnswer>
  /** Id of the request. */
  readonly request: string
  readonly response: ServerResponse
  /** Called when the caller reads too slowly; its connection is reset. */
  readonly onCutOff: (reason: string) => void
  /** Called when no more is to be read from the server of the attempt in progress, or when it goes on. */
  readonly onHold: (isHeld: boolean) => void
}

/** Counts the bytes that are written to a caller. */
export class CallerAnswer {
  readonly id: number
  readonly #options: CallerAnswerOptions
  #written = 0
  #isHeld = false
  #wasHeld = false

  /** @param options - the request, its response, and what follows from slow reading */
  constructor (options: CallerAnswerOptions) {
    this.#options = options
    this.id = options.buffers.nextId()
    if (options.buffers.isLimited) options.response.once('close', () => options.buffers.closed(this))
  }

  get request (): string {
    return this.#options.request
  }

  /** Bytes that have been written so far, without their framing. */
  get written (): number {
    return this.#written
  }

  /** Bytes that are buffered, because the caller has not read what was written before them. */
  get unread (): number {
    const { response } = this.#options
    return response.destroyed ? 0 : response.writableLength
  }

  /** Whether the server is held back. */
  get isHeld (): boolean {
    return this.#isHeld
  }

  /** Whether the server has been held back at any time. */
  get wasHeld (): boolean {
    return this.#wasHeld
  }

  /** @param bytes - further bytes that have been written to the response */
  add (bytes: number): void {
    this.#written += bytes
    this.#options.buffers.written(this)
  }

  /** @param isHeld - whether no more is to be read from the server */
  holdServer (isHeld: boolean): void {
    this.#isHeld = isHeld
    this.#wasHeld ||= isHeld
    this.#options.onHold(isHeld)
  }

  /**
   * Ends the request and resets the connection: an answer without a length must not look complete, and the operating system discards what it has buffered.
   *
   * @param reason - why, for the log
   */
  cutOff (reason: string): void {
    const { response, onCutOff } = this.#options
    // Node.js waits for the unread bytes before it resets, unless the connection is destroyed.
    response.socket?.resetAndDestroy()
    onCutOff(reason)
    response.destroy()
  }
}
