/** Command line parsing, errors, help, and formatting of text for the terminal. */
export * from './errors.js'
export * from './style.js'
export * from './format.js'
export * from './usage.js'
export * from './runCommandLine.js'
