/** Peer messages, result codes and time line event types. */
export * from './generated/peer.js'
export * from './codes/index.js'
export * from './clock/index.js'
export * from './timeline/index.js'
export * from './admin.js'
/** Datagrams; apart, since their names are those of the domain's own types. */
export * as gossipWire from './generated/gossip.js'
/** Datagrams about work on the engines. */
export * as fleetWire from './generated/fleet.js'
