/** Limits of organisations and templates on one node. */
export * from './OrganisationLimits.js'
