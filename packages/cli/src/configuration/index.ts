/** The operators' configuration, as the command line reads and edits it. */
export * from './files.js'
export * from './store.js'
export * from './differences.js'
export * from './inForce.js'
export * from './edit.js'
