export * from './HedgeAdmission.js'
export * from './HedgeDelays.js'
