export * from './Ring.js'
export * from './TimeLine.js'
