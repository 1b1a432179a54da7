/** The operators' configuration: edits, versions and the values that a node has in force. */
export * from './types.js'
export * from './constants.js'
export * from './versions.js'
export * from './ConfigurationSet.js'
export * from './ConfigurationEdit.js'
