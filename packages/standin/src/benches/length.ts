/** Policies compared by prompt length: the same requests, with and without the long ones. */
import { loadavg } from 'node:os'

import { Fleet } from '../fleet/index.js'
import { LENGTH_CLASSES, lengthClassOf, LoadRun, makeReport, proveByLedgers, readLedgers, summarise } from '../load/index.js'
import type { Burst, LengthClass, LoadReport, RequestRecord, Summary } from '../load/index.js'
import { BOUNDED_LOAD, BURST_LOAD, LEDGERS, lengthFleet, lengthLoad, LOADS, PREFILL_PER_SECOND, RATES, RUN_MS, SHORT_TOKENS, VARIANTS } from './lengthPlan.js'
import type { Variant } from './lengthPlan.js'
import { atMost, Bench } from './types.js'
import type { BenchOptions, BenchReport, Bound } from './types.js'

const LONG_TOKENS = 100_000
const EVERY_LENGTH = Infinity
const SETTLE_MS = 1_000

const BOUND_SHORT_SLOWDOWN = 1.2
const BOUND_SHORT_FIRST_TOKEN_MS = 320
const BOUND_LONG_STRETCH = 1.5

/** Figures of one run. */
interface RunFigures {
  readonly variant: string
  readonly load: number
  readonly offered: number
  readonly answered: number
  readonly refused: Readonly<Record<string, number>>
  readonly failed: Readonly<Record<string, number>>
  readonly lost: number
  readonly firstTokenMs: LoadReport['firstTokenMs']
  /** Time of a short answer over that of the same request without long ones; null where that was not run. */
  readonly shortSlowdown: Summary | null
  /** First token of long prompts over the time that one engine's prefill rate allows. */
  readonly longStretch: Summary | null
  /** Mean lateness of the engines' steps; a busy machine makes every figure worse. */
  readonly engineLatenessMs: number
  readonly machineLoad: number
}

interface Run {
  readonly records: readonly RequestRecord[]
  readonly report: LoadReport
}

type Progress = (line: string) => void

const answeredOf = (records: readonly RequestRecord[]): Map<number, { tokens: number, firstTokenMs: number, totalMs: number }> => {
  const answered = new Map<number, { tokens: number, firstTokenMs: number, totalMs: number }>()
  for (const { arrival, outcome } of records) {
    if (outcome.type === 'answered') answered.set(arrival.id, { tokens: arrival.promptTokens, firstTokenMs: outcome.firstTokenMs, totalMs: outcome.totalMs })
  }
  return answered
}

const pairedSlowdown = (all: Run, shortOnly: Run): Summary | null => {
  const alone = answeredOf(shortOnly.records)
  const ratios: [string, number][] = []
  for (const [id, { tokens, totalMs }] of answeredOf(all.records)) {
    const other = alone.get(id)
    if (tokens <= SHORT_TOKENS && other) ratios.push(['short', totalMs / other.totalMs])
  }
  return summarise(ratios)['short'] ?? null
}

const longStretch = ({ records }: Run): Summary | null => {
  const stretches: [string, number][] = []
  for (const { tokens, firstTokenMs } of answeredOf(records).values()) {
    if (tokens > LONG_TOKENS) stretches.push(['long', firstTokenMs / (tokens * 1_000 / PREFILL_PER_SECOND)])
  }
  return summarise(stretches)['long'] ?? null
}

const figuresOf = (variant: string, load: number, run: Run, shortOnly: Run | null): RunFigures => ({
  variant,
  load,
  offered: run.report.offered,
  answered: run.report.answered,
  refused: run.report.refusedByCode,
  failed: run.report.failedByCode,
  lost: run.report.lost,
  firstTokenMs: run.report.firstTokenMs,
  shortSlowdown: shortOnly && pairedSlowdown(run, shortOnly),
  longStretch: longStretch(run),
  engineLatenessMs: run.report.ledgers?.engineLatenessMs ?? 0,
  machineLoad: Math.round(loadavg()[0]! * 10) / 10
})

const line = ({ variant, load, offered, answered, firstTokenMs, shortSlowdown, longStretch: stretch }: RunFigures): string => {
  const firsts = LENGTH_CLASSES.map(({ name }) => `${name} ${Math.round(firstTokenMs[name]?.p95 ?? 0)} ms`).join(', ')
  return `${variant} at ${load}: ${answered} of ${offered} answered; first token p95 ${firsts}; short slowdown p95 ${shortSlowdown?.p95 ?? '-'}; long stretch p95 ${stretch?.p95 ?? '-'}`
}

/** Runs each policy at several loads and with a burst of ledgers. */
export class LengthBench extends Bench {
  override readonly name = 'length'
  override readonly description = 'policies by prompt length: first token and slowdown over 9 nodes and 23 engines; takes ten minutes'

  override async run ({ seed, progress }: BenchOptions): Promise<BenchReport> {
    const runs: RunFigures[] = []
    const bursts: RunFigures[] = []
    for (const variant of VARIANTS) await this.runVariant(variant, seed, progress, runs, bursts)
    const figures = {
      engines: RATES,
      enginePrefillPerSecond: Math.round(PREFILL_PER_SECOND),
      arrivalsMs: RUN_MS,
      runs,
      bursts
    }
    return { bench: this.name, seed, figures, bounds: boundsOf(runs) }
  }

  private async runVariant (variant: Variant, seed: number, progress: Progress, runs: RunFigures[], bursts: RunFigures[]): Promise<void> {
    const fleet = new Fleet(lengthFleet(variant))
    try {
      await fleet.start()
      for (const load of variant.boundedLoadOnly ? [BOUNDED_LOAD] : LOADS) {
        const shortOnly = await this.send(fleet, seed, load, SHORT_TOKENS, [])
        const figures = figuresOf(variant.name, load, await this.send(fleet, seed, load, EVERY_LENGTH, []), shortOnly)
        progress(line(figures))
        runs.push(figures)
      }
      const burst = figuresOf(variant.name, BURST_LOAD, await this.send(fleet, seed, BURST_LOAD, EVERY_LENGTH, [LEDGERS]), null)
      progress(`burst of ledgers: ${line(burst)}`)
      bursts.push(burst)
    } finally {
      await fleet.dispose()
    }
  }

  private async send (fleet: Fleet, seed: number, load: number, longestTokens: number, bursts: readonly Burst[]): Promise<Run> {
    const options = lengthLoad(fleet.plan, fleet.callerAddresses, seed, load, longestTokens, bursts)
    const run = await new LoadRun(options).run()
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const proof = proveByLedgers(await readLedgers(fleet.ledgerAddresses), run.records)
    return { records: run.records, report: makeReport(run, options.nominal, proof) }
  }
}

const SHORT_CLASS: LengthClass = lengthClassOf(SHORT_TOKENS)
const LONG_CLASS: LengthClass = lengthClassOf(LONG_TOKENS + 1)

const boundsOf = (runs: readonly RunFigures[]): Bound[] => {
  const bounded = runs.filter(({ load }) => load === BOUNDED_LOAD)
  const of = (variant: string): RunFigures => bounded.find((run) => run.variant === variant)!
  const own = of('length_aware')
  const slowdown = (run: RunFigures): number => run.shortSlowdown?.p95 ?? Infinity
  const longFirst = (run: RunFigures): number => run.firstTokenMs[LONG_CLASS]?.p95 ?? Infinity
  const baselines = [of('round_robin'), of('least_reported_load')]
  return [
    atMost('short slowdown p95 at 0.8', slowdown(own), BOUND_SHORT_SLOWDOWN),
    atMost('first token p95 under 4 k at 0.8, ms', own.firstTokenMs[SHORT_CLASS]?.p95 ?? Infinity, BOUND_SHORT_FIRST_TOKEN_MS),
    atMost('first token p95 of 100 k and over at 0.8, over what the prefill rate allows', own.longStretch?.p95 ?? Infinity, BOUND_LONG_STRETCH),
    ...baselines.map((run) => atMost(`short slowdown p95 against ${run.variant}`, slowdown(own), slowdown(run))),
    ...baselines.map((run) => atMost(`first token p95 of 100 k and over against ${run.variant}, ms`, longFirst(own), longFirst(run))),
    atMost('short slowdown p95, weighted for short against for long', slowdown(of('length_aware for short')), slowdown(of('length_aware for long'))),
    atMost('first token p95 of 100 k and over, weighted for long against for short, ms', longFirst(of('length_aware for long')), longFirst(of('length_aware for short')))
  ]
}
