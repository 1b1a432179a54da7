/** `npm run bench`: lists the benches or runs one. */
import { writeFileSync } from 'node:fs'

import { defineCommand, runMain } from 'citty'

import { BENCHES } from './benches/index.js'
import { numberArg, numberOf } from './commands/arguments.js'

const LIST = 'list'
const DEFAULT_SEED = 1

const list = (): void => {
  for (const { name, description } of BENCHES) console.log(`${name.padEnd(20)}${description}`)
}

const run = async (name: string, seed: number, file: string | undefined): Promise<void> => {
  const bench = BENCHES.find((candidate) => candidate.name === name)
  if (!bench) throw new Error(`there is no bench "${name}"; "list" names them`)
  const report = await bench.run({ seed, progress: (line) => console.error(line) })
  const text = JSON.stringify(report, null, 2)
  if (file !== undefined) writeFileSync(file, `${text}\n`)
  console.log(text)
  if (!report.bounds.every(({ met }) => met)) process.exitCode = 1
}

const main = defineCommand({
  meta: { name: 'bench', description: 'Measure; the exit code is 1 where a bound is missed' },
  args: {
    name: { type: 'positional', description: 'A bench, or "list"', required: true },
    seed: numberArg('Seed', DEFAULT_SEED),
    json: { type: 'string', description: 'File for the figures' }
  },
  run: async ({ args }) => {
    if (args.name === LIST) list()
    else await run(args.name, numberOf(args.seed), args.json)
  }
})

await runMain(main)
