/** Observes one attempt at a backend server as evidence on the request and the parts of its prompt. */
import type { ServerWatch, WatchedAttempt } from './ServerWatch.js'

/** Events after which an answer counts as sound: an engine may crash when it begins to write. */
const SOUND_EVENT_COUNT = 2

/** An attempt from the time it is sent until it ends. */
export class AttemptWatch {
  #eventCount = 0
  #stopListening: (() => void) | null

  /**
   * @param serverWatch - open attempts of this node
   * @param attempt - the attempt
   * @param stopListening - ends the calls that tell of new quarantines; null if there are none
   */
  constructor (private readonly serverWatch: ServerWatch, private readonly attempt: WatchedAttempt, stopListening: (() => void) | null) {
    this.#stopListening = stopListening
    serverWatch.sent(attempt)
  }

  /** Records that the server has sent bytes of its answer. */
  dataReceived (): void {
    this.serverWatch.dataReceived(this.attempt)
  }

  /** @param count - number of further events of a stream that have arrived */
  eventsReceived (count: number): void {
    this.#eventCount += count
    if (this.#eventCount >= SOUND_EVENT_COUNT) this.completed()
  }

  /** Records that the answer has gone far enough to be sound. */
  completed (): void {
    this.#listenNoMore()
    this.serverWatch.provedSound(this.attempt)
  }

  /** Records that the connection was broken off before the answer was complete. */
  brokenOff (): void {
    this.#listenNoMore()
    this.serverWatch.brokenOff(this.attempt)
  }

  /** Stops to observe the attempt, which has ended in any way. */
  ended (): void {
    this.#listenNoMore()
    this.serverWatch.ended(this.attempt)
  }

  #listenNoMore (): void {
    this.#stopListening?.()
    this.#stopListening = null
  }
}
