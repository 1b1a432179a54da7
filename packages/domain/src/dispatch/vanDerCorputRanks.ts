/** An order of numbers whose every beginning lies evenly spread (van der Corput). */

/**
 * @param count - how many numbers
 * @returns for each number 0 to count - 1 its place in the order
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
