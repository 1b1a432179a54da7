export * from './DisposableStore.js'
