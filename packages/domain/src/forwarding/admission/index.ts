export * from './AdmissionQueue.js'
export * from './OrganisationShares.js'
export * from './releaseTime.js'
export * from './waitLimits.js'
