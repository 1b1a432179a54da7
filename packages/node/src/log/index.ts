export * from './Redactor.js'
export * from './logger.js'
