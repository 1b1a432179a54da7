/** Edits that a value remembers besides its own. */
export const HISTORY_LENGTH = 50

/** Values that a node keeps at most. */
export const MAX_VALUES = 4_096

/** Wall time that one revision number stands for, in milliseconds. */
export const REVISION_PERIOD_MS = 1_000

/** Swaps that one edit tries before it gives up without a certain answer. */
export const MAX_EDIT_ATTEMPTS = 8

/** Delays between the attempts of an edit, in milliseconds. */
export const EDIT_FIRST_DELAY_MS = 100
export const EDIT_MAX_DELAY_MS = 3_000
