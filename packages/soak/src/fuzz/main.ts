/** Command line of the fuzzing run. */
import { execFileSync } from 'node:child_process'

import { defineCommand, runMain } from 'citty'

import { runFuzz } from './runFuzz.js'

const PROGRAM = 'target/start.cjs'
const BYTES_PER_MB = 1_000_000

const inMb = (bytes: number): number => Math.round(bytes / BYTES_PER_MB)

const command = defineCommand({
  meta: { name: 'fuzz', description: 'Sends odd values to a running node over all its doors, and checks that it goes on serving' },
  args: {
    seed: { type: 'string', default: '1', description: 'seed of the values' },
    inputs: { type: 'string', default: '200000', description: 'number of inputs' },
    seconds: { type: 'string', default: '3600', description: 'time after which the run ends' },
    doors: { type: 'string', default: '', description: 'names of doors, separated by commas; all if empty' },
    directory: { type: 'string', default: 'out/fuzz', description: 'gets settings and logs' },
    program: { type: 'string', default: PROGRAM, description: 'program of the node under test' }
  },
  run: async ({ args }) => {
    if (args.program === PROGRAM) execFileSync(process.execPath, ['scripts/bundle.mjs'])
    const { inputs, violations, memory } = await runFuzz({
      seed: Number(args.seed), inputs: Number(args.inputs), seconds: Number(args.seconds), doors: args.doors.split(',').filter((name) => name !== ''), directory: args.directory, program: args.program
    })
    const total = Object.values(inputs).reduce((sum, count) => sum + count, 0)
    console.log(`seed ${args.seed}: inputs=${total} (${Object.entries(inputs).map(([door, count]) => `${door}=${count}`).join(' ')}) memory_mb=${inMb(memory.start)}/${inMb(memory.greatest)}/${inMb(memory.end)} violations=${violations.length}`)
    for (const violation of violations) console.log(`  VIOLATION ${violation}`)
    process.exitCode = violations.length === 0 ? 0 : 1
  }
})

await runMain(command)
