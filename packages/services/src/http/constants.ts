/** Connections that are opened to one backend address at most. */
export const MAX_CONNECTIONS_PER_ADDRESS = 1_024

/** Time an idle connection is kept, in milliseconds; below the five seconds after which Node servers close. */
export const KEEP_ALIVE_MS = 4_000

/** Longest time an idle connection is kept when the server asks for more, in milliseconds. */
export const KEEP_ALIVE_MAX_MS = 30_000

/** Time to open a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000

/** Time for a short control call to a backend server or the platform, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000

/** Time until a backend server sends the head of its answer, in milliseconds; the deadline usually comes first. */
export const HEADERS_TIMEOUT_MS = 600_000

/** Time between two pieces of a body, in milliseconds. */
export const BODY_IDLE_TIMEOUT_MS = 60_000

/** Bytes of an error answer that are read. */
export const MAX_ERROR_BODY_BYTES = 64 * 1024

/** Bytes of a JSON answer to a control call that are read. */
export const MAX_JSON_BODY_BYTES = 64 * 1024 * 1024
