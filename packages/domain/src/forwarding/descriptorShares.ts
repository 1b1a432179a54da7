/** Shares the descriptors of a process between those who connect to it, and those that it connects to. */

/** Descriptors that the operating system keeps for files. */
const FILE_DESCRIPTORS = 200

/** Descriptors for the store, the listening sockets and the calls to other nodes. */
const OWN_DESCRIPTORS = 100

/** Part of the rest for callers. As many requests may be open; what is left is for second attempts, reservations and requests of other nodes. */
const CALLER_SHARE = 0.4

/** Part of the rest for the connections of other nodes. */
const PEER_SHARE = 0.1

/** Fewest connections of one kind, on however small a VM. */
const MIN_CONNECTIONS = 32

const shareOf = (descriptors: number, share: number): number =>
  Math.max(MIN_CONNECTIONS, Math.floor((descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS) * share))

/**
 * @param descriptors - descriptors that the process may have open
 * @returns how many connections callers may have, and how many requests may be open
 */
export const callerConnectionLimit = (descriptors: number): number => shareOf(descriptors, CALLER_SHARE)

/**
 * @param descriptors - descriptors that the process may have open
 * @returns how many connections other nodes may have
 */
export const peerConnectionLimit = (descriptors: number): number => shareOf(descriptors, PEER_SHARE)
