/** Prompts that cost little to make: a prefix that an organisation's requests share, a unique mark, and filler. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import type { Arrival } from './types.js'

const BYTES_PER_TOKEN = 4
const PREFIX_TOKENS = 768
const TEMPLATES = 4
const FILLER_CHARACTERS = 65_536
const LONGEST_TOKENS = 1_048_576
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz      '

const randomText = (seed: number, length: number): string => {
  const random = xoroshiro128plus(seed)
  let text = ''
  for (let index = 0; index < length; index++) text += ALPHABET[uniformInt(random, 0, ALPHABET.length - 1)]
  return text
}

/** Makes the prompt of an arrival; the same for the same seed and id. */
export class PromptMaker {
  private readonly filler: string
  private readonly prefixes = new Map<number, string>()

  /**
   * @param seed - of the run
   */
  constructor (private readonly seed: number) {
    const repeats = Math.ceil(LONGEST_TOKENS * BYTES_PER_TOKEN / FILLER_CHARACTERS)
    this.filler = randomText(seed, FILLER_CHARACTERS).repeat(repeats)
  }

  /**
   * Makes a prompt.
   *
   * @param arrival - its organisation, length and id
   * @returns the text, of exactly the length asked for
   */
  make ({ id, organisation, promptTokens }: Arrival): string {
    const length = promptTokens * BYTES_PER_TOKEN
    const head = `${this.prefix(organisation * TEMPLATES + id % TEMPLATES)} request ${this.seed}-${id}: `
    return head.slice(0, length) + this.filler.slice(0, Math.max(0, length - head.length))
  }

  private prefix (number: number): string {
    const known = this.prefixes.get(number)
    if (known !== undefined) return known
    const text = randomText(this.seed * 1_000 + number + 1, PREFIX_TOKENS * BYTES_PER_TOKEN)
    this.prefixes.set(number, text)
    return text
  }
}
