/** Limits of the calls between nodes. */

/** Maximum message size; a message may contain several configuration values of one megabyte each. */
export const MAX_MESSAGE_BYTES = 64 * 1_048_576
