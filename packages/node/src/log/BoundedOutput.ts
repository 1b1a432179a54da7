import { write } from 'node:fs'
import Transport from 'winston-transport'

/** Bytes of lines that wait to be written at most. */
const MOST_WAITING_BYTES = 256 * 1024

/** How long lines are gathered before they are written together, in milliseconds. */
const GATHERING_TIME = 20

const STANDARD_OUTPUT = 1

/** Writes lines to a file descriptor without blocking; lines that find no room are dropped and counted. */
export class BoundedOutput extends Transport {
  #waiting: string[] = []
  #waitingBytes = 0
  #unreported = 0
  #busy = false
  #timer: NodeJS.Timeout | null = null
  #dropped = 0
  readonly #descriptor: number
  readonly #mostWaitingBytes: number

  /**
   * @param descriptor - open file descriptor
   * @param mostWaitingBytes - bytes of lines that wait at most
   */
  constructor (descriptor = STANDARD_OUTPUT, mostWaitingBytes = MOST_WAITING_BYTES) {
    super()
    this.#descriptor = descriptor
    this.#mostWaitingBytes = mostWaitingBytes
  }

  /** Lines that were dropped since the start. */
  get dropped (): number {
    return this.#dropped
  }

  override log (info: Record<PropertyKey, unknown>, done: () => void): void {
    this.#enqueue(`${String(info[Symbol.for('message')] ?? info['message'])}\n`)
    done()
  }

  /** Waits until the lines are written, for the end of the process. */
  async flush (): Promise<void> {
    while (this.#waiting.length > 0 || this.#busy) {
      this.#writeWaiting()
      await new Promise((resolve) => setTimeout(resolve, 1))
    }
  }

  #enqueue (line: string): void {
    if (this.#waitingBytes + line.length > this.#mostWaitingBytes) {
      this.#dropped += 1
      this.#unreported += 1
      return
    }
    this.#waiting.push(line)
    this.#waitingBytes += line.length
    this.#timer ??= setTimeout(() => this.#writeWaiting(), GATHERING_TIME)
  }

  #writeWaiting (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    if (this.#busy || this.#waiting.length === 0) return
    if (this.#unreported > 0) this.#waiting.push(`event=log.lines_dropped lines=${this.#unreported} cause=output_full\n`)
    this.#unreported = 0
    const text = Buffer.from(this.#waiting.join(''))
    this.#waiting = []
    this.#waitingBytes = 0
    this.#busy = true
    this.#write(text)
  }

  #write (text: Buffer): void {
    write(this.#descriptor, text, (error, written) => {
      if (error === null && written < text.length) {
        this.#write(text.subarray(written))
        return
      }
      if (error !== null) this.#unreported += 1
      this.#busy = false
      if (this.#waiting.length > 0) this.#writeWaiting()
    })
  }
}
