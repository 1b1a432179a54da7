/** Ranks numbers in van der Corput order, in which every prefix is evenly distributed over the range. */

/**
 * @param count - number of integers to rank, starting with 0
 * @returns the rank of each integer from 0 to count - 1
 */
export const vanDerCorputRanks = (count: number): readonly number[] => {
  const bits = Math.max(1, Math.ceil(Math.log2(Math.max(1, count))))
  const numbers = Array.from({ length: count }, (_, number) => ({ number, key: reverseBits(number, bits) }))
  const ranks = new Array<number>(count).fill(0)
  numbers.sort((a, b) => a.key - b.key).forEach(({ number }, place) => { ranks[number] = place })
  return ranks
}

const reverseBits = (value: number, bits: number): number => {
  let reversed = 0
  for (let bit = 0; bit < bits; bit++) reversed = reversed * 2 + ((value >> bit) & 1)
  return reversed
}
