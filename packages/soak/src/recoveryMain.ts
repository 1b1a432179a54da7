/** Command line of the measurements of a large fleet. */
import { execFileSync } from 'node:child_process'

import { defineCommand, runMain } from 'citty'

import { DEPLOYED_FLAGS } from './profiles.js'
import { runRecovery } from './Recovery.js'
import type { RecoveryReport } from './Recovery.js'
import { SCENARIOS } from './recoveryScenarios.js'
import type { ScenarioName } from './recoveryScenarios.js'

const PROGRAM = 'target/start.cjs'

/** Violations of one run that are printed. */
const MOST_PRINTED = 20

const print = ({ options: { scenario, nodes, share, rate, seed }, load, rigRan, servedFrom, ready, processorMs, storeCalls, results, servedShareAfterBound, violations }: RecoveryReport): void => {
  console.log(`${scenario}: nodes=${nodes} share=${share} rate=${rate} seed=${seed} load=${load.map((value) => value.toFixed(1)).join('..')} rig_ran=${rigRan.toFixed(2)} violations=${violations.length}`)
  console.log(`  served from (ms): ${servedFrom.map(({ share: least, at }) => `${least}: ${at}`).join(', ')}; of those after the bound: ${servedShareAfterBound.toFixed(3)}`)
  console.log(`  ready (ms): first ${ready[0]}, middle ${ready[1]}, last ${ready[2]}; processor time of a node until ready (ms): middle ${processorMs[0]}, highest ${processorMs[1]}`)
  console.log(`  store calls a node: ${storeCalls.reads.toFixed(1)} reads, ${storeCalls.writes.toFixed(1)} writes; refused of all: ${storeCalls.refused}`)
  console.log(`  results: ${Object.entries(results).sort(([, a], [, b]) => b - a).map(([result, count]) => `${result}=${count}`).join(', ')}`)
  for (const { rule, detail } of violations.slice(0, MOST_PRINTED)) console.log(`  VIOLATION ${rule}: ${detail}`)
}

const isScenario = (name: string): name is ScenarioName => name in SCENARIOS

const command = defineCommand({
  meta: { name: 'recovery', description: 'Ends all nodes of a large fleet, or does planned work on it, and measures what callers see' },
  args: {
    scenarios: { type: 'string', default: 'kill', description: `one or more of ${Object.keys(SCENARIOS).join(', ')}, separated by commas` },
    nodes: { type: 'string', default: '59', description: 'number of nodes' },
    share: { type: 'string', default: '0.3', description: 'part of a processor that each node gets; 1 to let it run freely' },
    rate: { type: 'string', default: '1', description: 'part of the usual 64 requests a second' },
    seed: { type: 'string', default: '1', description: 'seed of the traffic' },
    directory: { type: 'string', default: 'out/recovery', description: 'gets settings and logs' }
  },
  run: async ({ args }) => {
    execFileSync(process.execPath, [...DEPLOYED_FLAGS, 'scripts/bundle.mjs'])
    let broken = 0
    for (const scenario of args.scenarios.split(',')) {
      if (!isScenario(scenario)) throw new Error(`unknown scenario ${scenario}`)
      const report = await runRecovery({ scenario, nodes: Number(args.nodes), share: Number(args.share), rate: Number(args.rate), seed: Number(args.seed), directory: args.directory, program: PROGRAM })
      print(report)
      if (report.violations.length > 0) broken += 1
    }
    console.log(`${broken} runs with violations`)
    process.exitCode = broken === 0 ? 0 : 1
  }
})

await runMain(command)
