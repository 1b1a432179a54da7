#!/usr/bin/env node
import { run } from '../dist/src/index.js'

await run(process.argv.slice(2))
