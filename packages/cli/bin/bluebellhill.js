#!/usr/bin/env node
// citty decides on colours when it is loaded, so NO_COLOR is set before the import
if (!process.stdout.isTTY || !process.stderr.isTTY) process.env.NO_COLOR = '1'
// a reader such as head may close the pipe early, which is not an error
process.stdout.on('error', (error) => { if (error.code === 'EPIPE') process.exit(0) })
const { run } = await import('../dist/src/index.js')

await run(process.argv.slice(2))
