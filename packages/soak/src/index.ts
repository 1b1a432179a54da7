/** Runs real nodes under faults from outside, and checks what callers and backend servers see. */
export * from './Soak.js'
export * from './types.js'
export { runRecovery } from './Recovery.js'
