/** Small fleets of our own processes. */
export { DEFAULT_FLEET_PLAN, FAILURE_DOMAINS, MODEL, MODEL_VERSION, SERVICE } from './constants.js'
export { fleetDocument, organisationDocument } from './documents.js'
export { Fleet } from './Fleet.js'
export * from './types.js'
