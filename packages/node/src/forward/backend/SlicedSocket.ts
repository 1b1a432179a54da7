/** Lets a socket be read in slices, so that no connection is read for long while others wait. */
import type { Socket } from 'node:net'

import type { Millis } from '@bluebellhill/domain'

import { monotonicNow } from '../../clock/monotonic.js'
import { TURN_TIME } from '../ReadTurns.js'
import type { PlannedTurn, ReadTurns } from '../ReadTurns.js'

const LARGEST_SLICE_BYTES = 16 * 1_024
const SMALLEST_SLICE_BYTES = 128

/** Factor by which a slice is larger than the one before if that was handled in time. */
const GROWTH = 2

/** Longest time that handling a byte takes, in tiny pieces too. What seems longer is a pause of the process, which says nothing of the connection. */
const MAX_TIME_PER_BYTE: Millis = 0.002

/**
 * Replaces `read` of a socket that is read by an HTTP client until nothing is left. The client then finds the socket empty after each slice, and is woken when
 * its next turn has come. The size of a slice follows from the time that the last one took: pieces of a few bytes take as long to handle as large ones.
 *
 * undici's own pause is not used: undici 7.30 fails with an assertion if the connection is reset, or ends, while its parser is paused.
 */
export class SlicedSocket {
  readonly #read: (size?: number) => Buffer | null
  #sliceBytes = LARGEST_SLICE_BYTES
  /** Start of the slice that is being handled; null between slices. */
  #startedAt: Millis | null = null
  #handledBytes = 0
  #nextTurn: PlannedTurn | null = null
  #isHeld = false

  /**
   * @param socket - the socket
   * @param turns - turns of all connections
   */
  constructor (private readonly socket: Socket, private readonly turns: ReadTurns) {
    this.#read = socket.read.bind(socket) as (size?: number) => Buffer | null
    socket.read = (size?: number) => size === 0 ? this.#read(0) : this.#nextSlice()
    socket.once('close', () => this.#nextTurn?.cancel())
  }

  /** Bytes that have been given to the client. */
  get bytesTaken (): number {
    return this.socket.bytesRead - this.socket.readableLength
  }

  /** Whether the operating system has not taken all that was written. */
  get isWriting (): boolean {
    return this.socket.writableLength > 0
  }

  /** @param isHeld - whether nothing is read; the buffer of the socket fills, and the operating system makes the server wait */
  hold (isHeld: boolean): void {
    if (isHeld === this.#isHeld) return
    this.#isHeld = isHeld
    if (!isHeld && this.#nextTurn === null) this.#wake()
  }

  #nextSlice (): Buffer | null {
    if (this.#startedAt !== null) this.#sliceHandled(Math.min(monotonicNow() - this.#startedAt, this.#handledBytes * MAX_TIME_PER_BYTE))
    if (this.#isHeld || this.#nextTurn !== null) return null
    const { readableLength } = this.socket
    const bytes = readableLength > this.#sliceBytes ? this.#read(this.#sliceBytes) : this.#read()
    if (bytes === null) return null
    this.#startedAt = monotonicNow()
    this.#handledBytes = bytes.length
    return bytes
  }

  #sliceHandled (took: Millis): void {
    this.#startedAt = null
    this.#sliceBytes = took > TURN_TIME
      ? Math.max(SMALLEST_SLICE_BYTES, Math.floor(this.#handledBytes * TURN_TIME / took))
      : Math.min(LARGEST_SLICE_BYTES, this.#sliceBytes * GROWTH)
    if (took <= TURN_TIME && this.socket.readableLength === 0) return
    this.#nextTurn = this.turns.plan(took, () => this.#wake())
  }

  #wake (): void {
    this.#nextTurn = null
    if (!this.#isHeld) this.socket.emit('readable')
  }
}
