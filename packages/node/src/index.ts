/** Entry of the package. */
export {}
export * from './membership/index.js'
export * from './placement/index.js'
