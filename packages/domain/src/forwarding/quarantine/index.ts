export * from './types.js'
export * from './Quarantine.js'
export { sharedParts } from './promptParts.js'
export { isolatedRequest, isRequest, requestSuspect } from './suspects.js'
