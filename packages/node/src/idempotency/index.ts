/** Idempotency keys at one node. */
export * from './IdempotencyService.js'
