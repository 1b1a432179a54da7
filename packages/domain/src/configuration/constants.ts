/** Limits and delays of configuration values and edits. */

/** Maximum number of earlier edits that a value records in its history. */
export const HISTORY_LENGTH = 50

/** Maximum number of values that a node keeps. */
export const MAX_VALUES = 4_096

/** Wall time that corresponds to one revision number, in milliseconds. */
export const REVISION_PERIOD_MS = 1_000

/** Maximum number of attempts of one edit; without a conclusive answer by then, the edit ends as unavailable or unknown. */
export const MAX_EDIT_ATTEMPTS = 8

/** Delay between the first two attempts of an edit, in milliseconds; it doubles with each further attempt. */
export const EDIT_FIRST_DELAY_MS = 100
/** Maximum delay between two attempts of an edit, in milliseconds. */
export const EDIT_MAX_DELAY_MS = 3_000
