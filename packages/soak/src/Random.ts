/** Seeded choices. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Draws from one seeded generator. */
export class Random {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** @returns a whole number from `least` to `most`, both included */
  between (least: number, most: number): number {
    return uniformInt(this.#generator, least, most)
  }

  /** @returns one of the items, which must not be empty */
  pick<Item> (items: readonly Item[]): Item {
    const item = items[this.between(0, items.length - 1)]
    if (item === undefined) throw new Error('nothing to pick from')
    return item
  }
}
