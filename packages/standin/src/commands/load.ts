/** `load`: sends a mixed load to nodes and judges every answer. */
import { writeFileSync } from 'node:fs'

import { defineCommand } from 'citty'

import { DEFAULT_LOAD_OPTIONS as DEFAULTS, LoadRun, makeReport, proveByLedgers, readLedgers } from '../load/index.js'
import type { Burst, LoadOptions, LoadOrganisation } from '../load/index.js'
import { numberArg, numberOf } from './arguments.js'

const SETTLE_MS = 1_000

const listOf = (text: string): string[] => text.split(',').filter((item) => item !== '')

const organisationOf = (text: string): LoadOrganisation => {
  const [name, apiKey, weight] = text.split(':')
  if (!name || !apiKey) throw new Error(`"${text}" is not NAME:KEY or NAME:KEY:WEIGHT`)
  return { name, apiKey, weight: Number(weight ?? 1) }
}

const burstOf = (text: string): Burst => {
  const [atMs, count, minTokens, maxTokens] = text.split(':').map(numberOf)
  if (maxTokens === undefined) throw new Error(`"${text}" is not AT_MS:COUNT:MIN_TOKENS:MAX_TOKENS`)
  return { atMs: atMs!, count: count!, minTokens: minTokens!, maxTokens }
}

export const loadCommand = defineCommand({
  meta: { name: 'load', description: 'Send a mixed load to nodes and judge every answer' },
  args: {
    targets: { type: 'string', description: 'Addresses of the nodes, separated by commas', required: true },
    organisations: { type: 'string', description: 'NAME:KEY[:WEIGHT], separated by commas', required: true },
    model: { type: 'string', description: 'Model asked for', default: DEFAULTS.model },
    seed: numberArg('Seed of arrivals, lengths and prompts', DEFAULTS.seed),
    'per-second': numberArg('Mean completions a second', DEFAULTS.perSecond),
    'duration-ms': numberArg('Time of the arrivals, in ms', DEFAULTS.durationMs),
    'max-requests': numberArg('Most arrivals', DEFAULTS.maxRequests),
    'longest-tokens': numberArg('Leave out longer prompts', DEFAULTS.longestTokens),
    'cut-tokens': numberArg('Cut longer prompts to this', DEFAULTS.cutTokens),
    'min-answer-tokens': numberArg('Shortest answer', DEFAULTS.minAnswerTokens),
    'max-answer-tokens': numberArg('Longest answer', DEFAULTS.maxAnswerTokens),
    bursts: { type: 'string', description: 'AT_MS:COUNT:MIN_TOKENS:MAX_TOKENS, separated by commas', default: '' },
    'order-service': { type: 'string', description: 'Plain service that orders go to' },
    'orders-per-second': numberArg('Mean orders a second', 2),
    'orders-twice': numberArg('Share of orders sent to two nodes', 0.2),
    'deadline-ms': numberArg('Time limit, in ms', DEFAULTS.deadlineMs),
    'grace-ms': numberArg('Time after the limit until a request is lost, in ms', DEFAULTS.graceMs),
    retries: numberArg('Times that a broken call is sent again', DEFAULTS.retries),
    'max-in-flight': numberArg('Most requests in progress', DEFAULTS.maxInFlight),
    ledgers: { type: 'string', description: 'Control addresses of the stand-ins, separated by commas', default: '' },
    json: { type: 'string', description: 'File for the figures' }
  },
  run: async ({ args }) => {
    const options: LoadOptions = {
      ...DEFAULTS,
      targets: listOf(args.targets),
      organisations: listOf(args.organisations).map(organisationOf),
      model: args.model,
      seed: numberOf(args.seed),
      perSecond: numberOf(args['per-second']),
      durationMs: numberOf(args['duration-ms']),
      maxRequests: numberOf(args['max-requests']),
      longestTokens: numberOf(args['longest-tokens']),
      cutTokens: numberOf(args['cut-tokens']),
      minAnswerTokens: numberOf(args['min-answer-tokens']),
      maxAnswerTokens: numberOf(args['max-answer-tokens']),
      bursts: listOf(args.bursts).map(burstOf),
      orders: args['order-service']
        ? { service: args['order-service'], perSecond: numberOf(args['orders-per-second']), twiceShare: numberOf(args['orders-twice']) }
        : null,
      deadlineMs: numberOf(args['deadline-ms']),
      graceMs: numberOf(args['grace-ms']),
      retries: numberOf(args.retries),
      maxInFlight: numberOf(args['max-in-flight'])
    }
    const run = await new LoadRun(options).run()
    const ledgers = listOf(args.ledgers)
    if (ledgers.length > 0) await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const proof = ledgers.length > 0 ? proveByLedgers(await readLedgers(ledgers), run.records) : null
    const report = makeReport(run, options.nominal, proof)
    const text = JSON.stringify(report, null, 2)
    if (args.json) writeFileSync(args.json, `${text}\n`)
    console.log(text)
  }
})
