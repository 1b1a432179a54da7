/** Claims idempotency keys in the key-value service, so that each keyed request runs at most once. */
export * from './types.js'
export * from './constants.js'
export * from './IdempotencyRegister.js'
