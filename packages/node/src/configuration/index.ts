/** The operators' configuration on one node. */
export * from './ConfigurationPeers.js'
export * from './ConfigurationService.js'
