/** Limits of what a backend server may send as one answer. Beyond them it is treated as a server that never stops sending. */

const KIB = 1_024
const MIB = 1_024 * KIB

/** Maximum number of bytes in a row that are no body: all heads of an answer, interim ones included, the framing of a chunk, or trailers. */
export const MAX_FRAMING_BYTES = 64 * KIB

/** Maximum length of one event of a stream. */
export const MAX_EVENT_BYTES = MIB

/** Maximum number of bytes in a row that are comments and blank lines of a stream: each is an event to split off, and none is progress. */
export const MAX_EMPTY_BYTES = 64 * KIB

/** Maximum length of a whole stream. */
export const MAX_STREAM_BYTES = 64 * MIB

/** Maximum number of bytes of a stream that wait for their caller to read them. */
export const MAX_UNSENT_BYTES = 8 * MIB

/** Maximum length of an answer that is not a stream. */
export const MAX_PLAIN_ANSWER_BYTES = 32 * MIB

/** Maximum length of the body of an answer with a failure status. */
export const MAX_FAILURE_BODY_BYTES = MIB

/** Maximum memory of all plain answers in progress, and the part of each that does not count, so that short answers always pass. */
export const MAX_COLLECTED_BYTES = 48 * MIB
export const UNCOUNTED_BYTES = MIB
