import { write } from 'node:fs'
import Transport from 'winston-transport'

/** Bytes of lines that wait to be written at most. */
const MAX_QUEUED_BYTES = 256 * 1024

/** How long lines are gathered before they are written together, in milliseconds. */
const BATCH_DELAY_MS = 20

const STANDARD_OUTPUT = 1

/** Writes lines to a file descriptor without blocking; lines that find no room are dropped and counted. */
export class BoundedOutput extends Transport {
  #queue: string[] = []
  #queuedBytes = 0
  #unreportedDrops = 0
  #isWriting = false
  #timer: NodeJS.Timeout | null = null
  #dropped = 0
  readonly #descriptor: number
  readonly #maxQueuedBytes: number

  /**
   * @param descriptor - open file descriptor
   * @param maxQueuedBytes - bytes of lines that wait at most
   */
  constructor (descriptor = STANDARD_OUTPUT, maxQueuedBytes = MAX_QUEUED_BYTES) {
    super()
    this.#descriptor = descriptor
    this.#maxQueuedBytes = maxQueuedBytes
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
    while (this.#queue.length > 0 || this.#isWriting) {
      this.#writeQueue()
      await new Promise((resolve) => setTimeout(resolve, 1))
    }
  }

  #enqueue (line: string): void {
    if (this.#queuedBytes + line.length > this.#maxQueuedBytes) {
      this.#dropped += 1
      this.#unreportedDrops += 1
      return
    }
    this.#queue.push(line)
    this.#queuedBytes += line.length
    this.#timer ??= setTimeout(() => this.#writeQueue(), BATCH_DELAY_MS)
  }

  #writeQueue (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    if (this.#isWriting || this.#queue.length === 0) return
    if (this.#unreportedDrops > 0) this.#queue.push(`event=log.lines_dropped lines=${this.#unreportedDrops} cause=output_full\n`)
    this.#unreportedDrops = 0
    const batch = Buffer.from(this.#queue.join(''))
    this.#queue = []
    this.#queuedBytes = 0
    this.#isWriting = true
    this.#write(batch)
  }

  #write (batch: Buffer): void {
    write(this.#descriptor, batch, (error, written) => {
      if (error === null && written < batch.length) {
        this.#write(batch.subarray(written))
        return
      }
      if (error !== null) this.#unreportedDrops += 1
      this.#isWriting = false
      if (this.#queue.length > 0) this.#writeQueue()
    })
  }
}
