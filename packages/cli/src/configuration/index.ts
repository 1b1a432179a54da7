/** Reads, validates, compares and edits the configuration that operators write. */
export * from './files.js'
export * from './store.js'
export * from './differences.js'
export * from './inForce.js'
export * from './edit.js'
