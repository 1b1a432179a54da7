export * from './histograms.js'
export * from './Metrics.js'
export * from './ShortRequestBaseline.js'
export * from './CountingKeyValueService.js'
