/** Rendezvous order: a ranking that every node computes alike from names alone. */

const OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** @returns a 32-bit hash of a text, well mixed in all bits */
export const hash32 = (text: string): number => {
  let hash = OFFSET_BASIS
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index)
    hash = Math.imul(hash, FNV_PRIME)
  }
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  hash = Math.imul(hash, 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Orders names by their weight for a key; removing a name leaves the order of the others as it is.
 *
 * @param key - what is to be placed
 * @param names - candidates
 * @returns the names, heaviest first
 */
export const rendezvousOrder = <Name extends string>(key: string, names: Iterable<Name>): readonly Name[] =>
  [...new Set(names)]
    .map((name) => ({ name, weight: hash32(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name)
