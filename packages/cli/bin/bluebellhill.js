#!/usr/bin/env node
// citty decides on colours when it is loaded
if (!process.stdout.isTTY || !process.stderr.isTTY) process.env.NO_COLOR = '1'
const { run } = await import('../dist/src/index.js')

await run(process.argv.slice(2))
