/** Bounds of the calls between nodes. */

/** Longest message: several configuration values of a megabyte. */
export const MAX_MESSAGE_BYTES = 64 * 1_048_576
