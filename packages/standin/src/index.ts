/** Entry of the package: what tests, the demo and the bench use. */
export * from './fleet/index.js'
export * from './load/index.js'
export * from './processes/index.js'
export { answerSeed, answerText, preparePrompt } from './text.js'
export { Disposables } from './Disposables.js'
export type { Disposable } from './Disposables.js'
