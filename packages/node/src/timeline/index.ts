export * from './Ring.js'
export * from './TimeLine.js'
export * from './logEvents.js'
