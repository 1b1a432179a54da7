/** Claims of idempotency keys. */
export * from './types.js'
export * from './constants.js'
export * from './IdempotencyRegister.js'
