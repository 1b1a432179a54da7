/** Idempotency keys of one node's requests. */
export * from './IdempotencyService.js'
