import type { Millis } from '@bluebellhill/domain'

/** Timeout for opening a connection to a backend server or to another node. */
export const CONNECT_TIMEOUT: Millis = 250
