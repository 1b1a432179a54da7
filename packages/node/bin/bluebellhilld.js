#!/usr/bin/env node
import { runDaemon } from '../dist/src/index.js'

await runDaemon(process.argv.slice(2))
