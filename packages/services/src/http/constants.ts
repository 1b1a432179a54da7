/** Timeouts and size limits of HTTP requests. */

/** Maximum number of connections to one address. */
export const MAX_CONNECTIONS_PER_ADDRESS = 1_024

/** Time that an idle connection stays open, in milliseconds; less than the 5 seconds after which Node.js servers close it. */
export const KEEP_ALIVE_MS = 4_000

/** Longest time that an idle connection stays open if the server requests a longer keep-alive, in milliseconds. */
export const KEEP_ALIVE_MAX_MS = 30_000

/** Timeout for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000

/** Timeout of a control call to a backend server or a platform service, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000

/** Timeout for the response headers of a backend server, in milliseconds; the request's deadline usually expires first. */
export const HEADERS_TIMEOUT_MS = 600_000

/** Longest time between two chunks of a response body, in milliseconds. */
export const BODY_IDLE_TIMEOUT_MS = 60_000

/** Maximum size of the body of an error response, in bytes. */
export const MAX_ERROR_BODY_BYTES = 64 * 1024

/** Maximum size of the JSON response to a control call, in bytes. */
export const MAX_JSON_BODY_BYTES = 64 * 1024 * 1024
