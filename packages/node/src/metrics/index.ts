export * from './histograms.js'
export * from './Metrics.js'
