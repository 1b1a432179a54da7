export * from './BoundedOutput.js'
export * from './Redactor.js'
export * from './logger.js'
