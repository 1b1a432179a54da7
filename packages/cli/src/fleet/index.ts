/** Calls nodes at their admin addresses and finds problems in their replies. */
export * from './nodes.js'
export * from './adminClient.js'
export * from './args.js'
export * from './watch.js'
export * from './defineView.js'
export * from './findings.js'
