export * from './AdmissionQueue.js'
export * from './OrganisationShares.js'
export * from './ThroughputEstimate.js'
export * from './waitLimits.js'
