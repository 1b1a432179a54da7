/** Rendezvous order: a ranking that every node computes alike from names alone. */
import { hashText } from '../membership/hash.js'

/**
 * Orders names by their weight for a key; removing a name leaves the order of the others as it is.
 *
 * @param key - what is to be placed
 * @param names - candidates
 * @returns the names, heaviest first
 */
export const rendezvousOrder = <Name extends string>(key: string, names: Iterable<Name>): readonly Name[] =>
  [...new Set(names)]
    .map((name) => ({ name, weight: hashText(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name)
