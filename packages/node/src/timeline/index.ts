export * from './RingBuffer.js'
export * from './TimeLine.js'
export * from './logEvents.js'
