/** Starting, pausing and killing our own processes. */
export { ChildProcess } from './ChildProcess.js'
export type { ReadyLine } from './ChildProcess.js'
export { ProcessSet } from './ProcessSet.js'
export type { StandinKind } from './ProcessSet.js'
