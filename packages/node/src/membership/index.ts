/** Fleet membership and gossip values over UDP. */
export * from './authentication.js'
export * from './codec.js'
export * from './GossipSocket.js'
export * from './LeavingRunners.js'
export * from './MembershipService.js'
export * from './summaryCodec.js'
export * from './SummaryExchange.js'
