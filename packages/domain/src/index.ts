/** Decision logic of bluebellhill: deterministic aggregates without input or output. */
export * from './types.js'
export * from './constants.js'
export * from './dispatch/types.js'
export * from './request/types.js'
export * from './membership/index.js'
export * from './placement/index.js'
