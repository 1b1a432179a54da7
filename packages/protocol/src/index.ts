/** Peer messages, result codes and time line event types. */
export * from './generated/peer.js'
export * from './codes/index.js'
export * from './clock/index.js'
export * from './timeline/index.js'
export * from './admin.js'
