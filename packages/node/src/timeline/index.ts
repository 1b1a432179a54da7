export * from './Ring.js'
export * from './TimeLine.js'
export * from './admin.js'
