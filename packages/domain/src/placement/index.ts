/** Placement of models on the runners of a failure domain. */
export * from './modelPlacement.js'
export * from './constants.js'
export * from './LeaderLease.js'
export * from './PlacementPlan.js'
export * from './types.js'
