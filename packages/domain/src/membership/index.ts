/** Membership of the fleet: SWIM, the gossip board and dispatch ownership. */
export * from './constants.js'
export * from './GossipBoard.js'
export * from './hash.js'
export * from './Membership.js'
export * from './messageSize.js'
export * from './ownership.js'
export * from './precedence.js'
export * from './types.js'
