export * from './types.js'
export * from './resultCodes.js'
export * from './errorBody.js'
export * from './document.js'
