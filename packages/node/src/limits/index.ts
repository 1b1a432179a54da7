/** Limits of organisations and templates. */
export * from './OrganisationLimits.js'
