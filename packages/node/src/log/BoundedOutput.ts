/** Winston transport that writes log lines to a file descriptor without blocking. */
import { write } from 'node:fs'
import Transport from 'winston-transport'

/** Default limit of the queue of lines to be written, in bytes. */
const MAX_QUEUED_BYTES = 256 * 1024

/** Time for which lines are collected before they are written in one batch. */
const BATCH_DELAY_MS = 20

const STANDARD_OUTPUT = 1

/** Longest wait of a process that ends until its last lines are written. */
const FLUSH_LIMIT_MS = 200
const FLUSH_CHECK_MS = 1

/** Writes log lines in batches. Lines that exceed the queue limit are dropped, and their number is written to the output. */
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
   * @param maxQueuedBytes - limit of the queue of lines to be written
   */
  constructor (descriptor = STANDARD_OUTPUT, maxQueuedBytes = MAX_QUEUED_BYTES) {
    super()
    this.#descriptor = descriptor
    this.#maxQueuedBytes = maxQueuedBytes
  }

  /** Number of lines dropped since the start because the queue was full. */
  get dropped (): number {
    return this.#dropped
  }

  override log (info: Record<PropertyKey, unknown>, done: () => void): void {
    this.#enqueue(`${String(info[Symbol.for('message')] ?? info['message'])}\n`)
    done()
  }

  /**
   * Resolves when all queued lines are written, or when they cannot be in time, since nobody reads the output; for use before the process exits.
   *
   * @param limit - longest wait, in milliseconds
   */
  async flush (limit = FLUSH_LIMIT_MS): Promise<void> {
    const end = performance.now() + limit
    while ((this.#queue.length > 0 || this.#isWriting) && performance.now() < end) {
      this.#writeQueue()
      await new Promise((resolve) => setTimeout(resolve, FLUSH_CHECK_MS))
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
