/** Placement of models on the runners of a failure domain. */
export * from './PlacementService.js'
export * from './ports.js'
