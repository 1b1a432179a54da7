/** Ownership and release of resources. */
export * from './DisposableStore.js'
