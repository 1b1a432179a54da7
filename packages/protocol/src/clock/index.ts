export * from './HybridClock.js'
