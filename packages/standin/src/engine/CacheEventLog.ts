/** Published changes of the prefix cache: late and with gaps. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import type { CacheListener } from './BlockMemory.js'
import { EVENT_HISTORY } from './constants.js'

const DROP_SCALE = 10_000

/** One published event. */
export interface PublishedEvent {
  readonly seq: number
  readonly kind: 'stored' | 'removed' | 'cleared'
  readonly blocks: readonly string[]
}

/** What a reader gets. */
export interface EventPage {
  readonly from: number
  /** Pass this as `after` for the page that follows. */
  readonly next: number
  readonly events: readonly PublishedEvent[]
}

interface TimedEvent extends PublishedEvent {
  readonly at: number
}

/** Keeps a bounded history of events; some are never kept, so readers see gaps in `seq`. */
export class CacheEventLog implements CacheListener {
  private readonly events: TimedEvent[] = []
  private readonly random
  private lastSeq = 0

  /**
   * @param now - reads the clock, in milliseconds
   * @param lagMs - age at which an event becomes visible
   * @param dropRate - share of events lost, 0 to 1
   * @param seed - seed of the losses
   */
  constructor (private readonly now: () => number, private readonly lagMs: number, private readonly dropRate: number, seed: number) {
    this.random = xoroshiro128plus(seed)
  }

  stored (hashes: readonly string[]): void {
    this.add('stored', hashes)
  }

  removed (hashes: readonly string[]): void {
    this.add('removed', hashes)
  }

  cleared (): void {
    this.add('cleared', [])
  }

  /**
   * Reads visible events.
   *
   * @param after - the last number already read
   * @returns later events, if any are visible
   */
  read (after: number): EventPage {
    const visible = this.now() - this.lagMs
    const events = this.events
      .filter((event) => event.seq > after && event.at <= visible)
      .map(({ seq, kind, blocks }) => ({ seq, kind, blocks }))
    return { from: after, next: events.at(-1)?.seq ?? after, events }
  }

  private add (kind: PublishedEvent['kind'], blocks: readonly string[]): void {
    const seq = ++this.lastSeq
    if (uniformInt(this.random, 1, DROP_SCALE) <= this.dropRate * DROP_SCALE) return
    this.events.push({ seq, kind, blocks, at: this.now() })
    if (this.events.length > EVENT_HISTORY) this.events.splice(0, EVENT_HISTORY / 2)
  }
}
