/** Bodies of requests that are being read, in the order in which they made progress last. */
import { SLOW_AFTER } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

/** Bytes that count as progress: a caller that sends a byte from time to time makes none. */
const PROGRESS_BYTES = 4_096

/** What is done with a body that arrives. */
export interface BodyArrival {
  /** Returns whether this node itself reads no more of it for now. */
  readonly isPaused: () => boolean
  /** Refuses the request, which has not been sent to any server, and releases what is kept of its body. */
  readonly giveUp: () => void
}

interface Progress {
  at: Millis
  /** Bytes since then. */
  bytes: number
}

/** Chooses the requests that are given up when a node has no room for others: those whose bodies stand still. */
export class ArrivingBodies {
  readonly #bodies = new Map<BodyArrival, Progress>()

  /** @param clock - clock that stands still while the process is held up */
  constructor (private readonly clock: () => Millis) {}

  begun (body: BodyArrival): void {
    this.#bodies.set(body, { at: this.clock(), bytes: 0 })
  }

  ended (body: BodyArrival): void {
    this.#bodies.delete(body)
  }

  /** @param bytes - further bytes of the body */
  received (body: BodyArrival, bytes: number): void {
    const progress = this.#bodies.get(body)
    if (progress === undefined) return
    progress.bytes += bytes
    if (progress.bytes < PROGRESS_BYTES) return
    this.#bodies.delete(body)
    this.begun(body)
  }

  /**
   * Gives up the request whose body has stood still for longest, and for `SLOW_AFTER` at least.
   *
   * @returns whether there was one
   */
  giveUpOne (): boolean {
    const since = this.clock() - SLOW_AFTER
    for (const [body, { at }] of this.#bodies) {
      if (at > since) return false
      this.#bodies.delete(body)
      if (body.isPaused()) {
        this.begun(body)
        continue
      }
      body.giveUp()
      return true
    }
    return false
  }
}
