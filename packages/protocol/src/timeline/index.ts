export * from './kinds.js'
export * from './types.js'
export * from './events.js'
