/** The node's log and the removal of secrets from it. */
export * from './BoundedOutput.js'
export * from './Redactor.js'
export { errorText } from './errorText.js'
export * from './logger.js'
