/** Peer messages, result codes and time line event types. */
export * from './generated/peer.js'
