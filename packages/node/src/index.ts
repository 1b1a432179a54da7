/** The daemon's parts. */
export * from './store/index.js'
export * from './log/index.js'
export * from './metrics/index.js'
export * from './timeline/index.js'
/** Entry of the package. */
export {}
export * from './membership/index.js'
export { Daemon, VERSION } from './daemon/Daemon.js'
export type { DaemonAddresses, DaemonOptions } from './daemon/types.js'
export { Organisations } from './edge/Organisations.js'
export type { KnownOrganisation, TemplateRules } from './edge/Organisations.js'
