/** Computes small non-cryptographic hashes for digests and rendezvous hashing. */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Finalizer of MurmurHash3: every input bit affects the whole word.
 *
 * @param word - 32-bit integer
 * @returns unsigned 32-bit integer
 */
export const mix32 = (word: number): number => {
  let mixed = word ^ (word >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * FNV-1a over UTF-16 code units, followed by `mix32`.
 *
 * @param text - text to hash
 * @returns unsigned 32-bit integer
 */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return mix32(hash)
}
