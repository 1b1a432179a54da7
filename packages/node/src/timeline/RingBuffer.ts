/** A list of bounded capacity; when it is full, a new entry overwrites the oldest one. */
export class RingBuffer<Item> {
  private readonly items: Item[] = []
  private addedCount = 0

  /**
   * @param capacity - maximum number of entries
   * @throws RangeError if the capacity is not an integer of at least 1
   */
  constructor (readonly capacity: number) {
    if (!Number.isInteger(capacity) || capacity < 1) throw new RangeError(`the capacity of a ring buffer must be an integer of at least 1, not ${capacity}`)
  }

  get size (): number {
    return this.items.length
  }

  /** Number of entries overwritten so far. */
  get overwritten (): number {
    return this.addedCount - this.items.length
  }

  add (item: Item): void {
    this.items[this.addedCount % this.capacity] = item
    this.addedCount += 1
  }

  /**
   * @returns the entries from the oldest to the newest
   */
  toArray (): Item[] {
    const start = this.addedCount % this.capacity
    if (this.items.length < this.capacity) return this.items.slice()
    return [...this.items.slice(start), ...this.items.slice(0, start)]
  }
}
