export * from './histograms.js'
export * from './Metrics.js'
export * from './ShortBaseline.js'
export * from './CountedKeyValueService.js'
