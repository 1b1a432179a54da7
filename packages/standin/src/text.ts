/** The stand-in engine's answer text: deterministic, so that any reader can check that an answer is whole and its own. */
import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

const HASH_DIGITS = 16
const DIGEST_DIGITS = 8
const BYTES_PER_TOKEN = 4
const LONGEST_TOKEN = 32
const LAST_TOKEN = / ([0-9a-f]{8})\.(\d{1,10})$/

/** Tokens generated when a request names no limit. */
export const DEFAULT_MAX_TOKENS = 16

/** What the answer to a prompt looks like. */
export interface AnswerSeed {
  /** First hex digits of the prompt's hash; each token carries them. */
  readonly digest: string
  /** Number of the first token; above 0 where the prompt continues an earlier answer. */
  readonly first: number
}

/** A prompt as the engine counts it. */
export interface PreparedPrompt {
  readonly bytes: Uint8Array
  readonly tokens: number
}

/**
 * Hashes bytes with xxh64.
 *
 * @param bytes - what is hashed
 * @returns 16 hex digits
 */
export const hashBytes = (bytes: Uint8Array): string =>
  hasher.h64Raw(bytes).toString(16).padStart(HASH_DIGITS, '0')

/**
 * Counts and encodes a prompt.
 *
 * @param prompt - the text, or an array of tokens
 * @returns its bytes and its length in tokens
 */
export const preparePrompt = (prompt: string | readonly number[]): PreparedPrompt => {
  if (typeof prompt !== 'string') {
    return { bytes: Buffer.from(prompt.join(' ')), tokens: prompt.length }
  }
  const bytes = Buffer.from(prompt)
  return { bytes, tokens: Math.ceil(bytes.length / BYTES_PER_TOKEN) }
}

/**
 * Derives the answer to a prompt.
 *
 * @param bytes - the prompt's UTF-8 bytes
 * @returns the digits and the number of its first token
 */
export const answerSeed = (bytes: Uint8Array): AnswerSeed => {
  const tail = Buffer.from(bytes.subarray(Math.max(0, bytes.length - LONGEST_TOKEN))).toString('latin1')
  const match = LAST_TOKEN.exec(tail)
  if (match) return { digest: match[1]!, first: Number(match[2]) + 1 }
  return { digest: hashBytes(bytes).slice(0, DIGEST_DIGITS), first: 0 }
}

/**
 * Writes a run of tokens.
 *
 * @param seed - the answer
 * @param from - offset of the first token in this answer
 * @param to - offset after the last token
 * @returns the text
 */
export const answerText = (seed: AnswerSeed, from: number, to: number): string => {
  let text = ''
  for (let offset = from; offset < to; offset++) text += ` ${seed.digest}.${seed.first + offset}`
  return text
}

/**
 * Hashes a prompt's whole blocks, each chained to the one before.
 *
 * @param bytes - the prompt's UTF-8 bytes
 * @param blockTokens - tokens in a block
 * @returns one hash of 16 hex digits a block
 */
export const blockHashes = (bytes: Uint8Array, blockTokens: number): string[] => {
  const size = blockTokens * BYTES_PER_TOKEN
  const scratch = Buffer.alloc(HASH_DIGITS + size)
  const hashes: string[] = []
  let previous = ''
  for (let start = 0; start + size <= bytes.length; start += size) {
    scratch.write(previous, 0, 'latin1')
    scratch.set(bytes.subarray(start, start + size), previous.length)
    previous = hashBytes(scratch.subarray(0, previous.length + size))
    hashes.push(previous)
  }
  return hashes
}
