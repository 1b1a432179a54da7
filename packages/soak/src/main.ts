/** Command line of the soak. */
import { execFileSync } from 'node:child_process'

import { defineCommand, runMain } from 'citty'

import { runSoak } from './Soak.js'
import type { SoakReport } from './types.js'

const PROGRAM = 'target/start.cjs'

const print = ({ seed, requests, answered, refused, failed, runs, crashes, faults, violations }: SoakReport): void => {
  console.log(`seed ${seed}: requests=${requests} answered=${answered} refused=${refused} failed=${failed} runs=${runs} crashes=${crashes} faults=${faults.length} violations=${violations.length}`)
  if (violations.length === 0) return
  for (const fault of faults) console.log(`  fault: ${fault}`)
  for (const { rule, detail } of violations) console.log(`  VIOLATION ${rule}: ${detail}`)
}

const command = defineCommand({
  meta: { name: 'soak', description: 'Runs nodes under faults from outside, and checks what callers and backend servers see' },
  args: {
    seed: { type: 'string', default: '1', description: 'first seed' },
    seeds: { type: 'string', default: '1', description: 'number of seeds' },
    jobs: { type: 'string', default: '2', description: 'soaks at the same time' },
    earlier: { type: 'string', description: 'program of an earlier build (its target/start.cjs), run by every second node' },
    directory: { type: 'string', default: 'out/soak', description: 'gets settings and logs' }
  },
  run: async ({ args }) => {
    execFileSync(process.execPath, ['scripts/bundle.mjs'])
    const first = Number(args.seed)
    const seeds = Array.from({ length: Number(args.seeds) }, (_, index) => first + index)
    let broken = 0
    const work = async (slot: number): Promise<void> => {
      for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        const report = await runSoak({ seed, directory: args.directory, program: PROGRAM, earlierProgram: args.earlier ?? null, slot })
        print(report)
        if (report.violations.length > 0) broken += 1
      }
    }
    await Promise.all(Array.from({ length: Number(args.jobs) }, async (_, slot) => { await work(slot) }))
    console.log(`${broken} seeds with violations`)
    process.exitCode = broken === 0 ? 0 : 1
  }
})

await runMain(command)
