/** Placement of models on the runners of a failure domain. */
export * from './PlacementService.js'
export * from './HttpEngineCommands.js'
export * from './KeyValueLeadership.js'
export * from './PlacedRunners.js'
export * from './ports.js'
export * from './RecordedEngineCommands.js'
export * from './RunnerDrains.js'
export * from './wantedModels.js'
