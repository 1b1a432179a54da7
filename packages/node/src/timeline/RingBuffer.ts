/** A bounded list that overwrites its oldest entries. */
export class RingBuffer<Item> {
  private readonly items: Item[] = []
  private addedCount = 0

  /**
   * @param capacity - greatest number of entries kept
   * @throws RangeError where the capacity is below one
   */
  constructor (readonly capacity: number) {
    if (!Number.isInteger(capacity) || capacity < 1) throw new RangeError(`a ring needs a capacity of at least 1, not ${capacity}`)
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
   * @returns the entries, the oldest first
   */
  toArray (): Item[] {
    const start = this.addedCount % this.capacity
    if (this.items.length < this.capacity) return this.items.slice()
    return [...this.items.slice(start), ...this.items.slice(0, start)]
  }
}
