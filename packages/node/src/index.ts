/** The daemon's parts. */
export * from './store/index.js'
export * from './log/index.js'
export * from './metrics/index.js'
export * from './timeline/index.js'
export * from './admin/index.js'
export * from './membership/index.js'
