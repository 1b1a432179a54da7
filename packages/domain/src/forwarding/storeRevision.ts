/**
 * Orders the revisions of the platform's store over its eras. A store that is restored from a copy gives out revisions anew and
 * raises its era, so the era is the upper part of the number that nodes compare, and the store's own revision the lower part.
 */

/** Revision of the store that is comparable over all eras. */
export type StoreRevision = number

/** Greater than any revision that the store gives out within an era. */
const REVISIONS_PER_ERA = 2 ** 36

/** Last era whose revisions nodes compare exactly; a store is restored far less often. */
export const MAX_ERA = 2 ** 16

/**
 * @param era - era that another program states
 * @param revision - revision that it states
 * @returns whether they can be those of a store
 */
export const isStoreRevision = (era: number, revision: number): boolean =>
  Number.isInteger(era) && era >= 0 && era <= MAX_ERA && Number.isInteger(revision) && revision >= 0 && revision < REVISIONS_PER_ERA

/**
 * @param era - era of the store
 * @param revision - revision that the store gave out in that era
 * @returns the comparable revision
 */
export const storeRevision = (era: number, revision: number): StoreRevision => era * REVISIONS_PER_ERA + revision

/** @returns the era of a comparable revision */
export const eraOf = (revision: StoreRevision): number => Math.floor(revision / REVISIONS_PER_ERA)

/** @returns the revision that the store gave out within its era */
export const revisionInEra = (revision: StoreRevision): number => revision % REVISIONS_PER_ERA

/** @returns era and revision as text, for logs */
export const describeRevision = (revision: StoreRevision): string => `${eraOf(revision)}.${revisionInEra(revision)}`
