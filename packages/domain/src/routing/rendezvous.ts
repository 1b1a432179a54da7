/** Rendezvous hashing: ranks names for a key, with the same result on every node. */
import { hashText } from '../membership/hash.js'

/**
 * Sorts names by their hash for a key. Removing a name does not change the order of the others.
 *
 * @param key - key to rank the names for
 * @param names - names to rank; duplicates are removed
 * @returns the names, in descending order of their hash
 */
export const rendezvousOrder = <Name extends string>(key: string, names: Iterable<Name>): readonly Name[] =>
  [...new Set(names)]
    .map((name) => ({ name, weight: hashText(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name)
