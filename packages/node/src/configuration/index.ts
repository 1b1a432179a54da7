/** The operators' configuration at one node. */
export * from './ConfigurationPeers.js'
export * from './ConfigurationService.js'
