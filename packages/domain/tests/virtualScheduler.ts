/** Runs scheduled actions in virtual time; actions of the same time run in the order in which they were scheduled. */
import type { Millis } from '../src/index.js'

interface ScheduledAction { readonly at: Millis, readonly sequence: number, readonly run: () => void }

/** Priority queue of actions, implemented as a binary heap. */
export class VirtualScheduler {
  now: Millis = 0
  readonly #heap: ScheduledAction[] = []
  #count = 0

  schedule (at: Millis, run: () => void): void {
    this.#heap.push({ at, sequence: this.#count++, run })
    this.#siftUp()
  }

  run (until = Infinity): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const next = this.#pop()
      this.now = Math.max(this.now, next.at)
      next.run()
    }
  }

  #siftUp (): void {
    const heap = this.#heap
    let index = heap.length - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!earlier(heap[index]!, heap[parent]!)) return
      ;[heap[index], heap[parent]] = [heap[parent]!, heap[index]!]
      index = parent
    }
  }

  #pop (): ScheduledAction {
    const heap = this.#heap
    const top = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return top
    heap[0] = last
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      let least = index
      if (left < heap.length && earlier(heap[left]!, heap[least]!)) least = left
      if (right < heap.length && earlier(heap[right]!, heap[least]!)) least = right
      if (least === index) return top
      ;[heap[index], heap[least]] = [heap[least]!, heap[index]!]
      index = least
    }
  }
}

const earlier = (a: ScheduledAction, b: ScheduledAction): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence)
