/** The figures of a run. */
import { summarise } from './histograms.js'
import type { Summary } from './histograms.js'
import type { LedgerProof } from './ledgers.js'
import { lengthClassOf } from './lengths.js'
import type { LengthClass } from './lengths.js'
import type { LoadRecords } from './LoadRun.js'
import { ArrivalKind } from './types.js'
import type { Arrival, CallOutcome, NominalRates, RequestRecord } from './types.js'

const MS_PER_SECOND = 1_000

/** Counts and histograms. */
export interface LoadReport {
  readonly offered: number
  readonly admitted: number
  readonly answered: number
  readonly refused: number
  readonly failed: number
  /** Without a last word, late, or with a wrong answer; and orders answered that nothing ran. */
  readonly lost: number
  readonly doubled: number
  readonly wrong: number
  readonly late: number
  readonly broken: number
  readonly sentAgain: number
  readonly dropped: number
  readonly refusedByCode: Readonly<Record<string, number>>
  readonly failedByCode: Readonly<Record<string, number>>
  readonly reasons: Readonly<Record<string, number>>
  /** Milliseconds. */
  readonly firstTokenMs: Partial<Record<LengthClass, Summary>>
  /** Time of the whole answer over that on an idle engine. */
  readonly slowdown: Partial<Record<LengthClass, Summary>>
  readonly orderMs: Partial<Record<'order', Summary>>
  readonly refusalMs: Partial<Record<'refusal', Summary>>
  readonly tokensPerSecond: number
  readonly durationMs: number
  readonly ledgers: LedgerProof | null
}

type Typed<Type extends CallOutcome['type']> = RequestRecord & { readonly outcome: Extract<CallOutcome, { type: Type }> }

const ofType = <Type extends CallOutcome['type']>(records: readonly RequestRecord[], type: Type): Typed<Type>[] =>
  records.filter((record): record is Typed<Type> => record.outcome.type === type)

const tally = (names: readonly string[]): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}

/**
 * Time of an answer on an idle engine.
 *
 * @param arrival - its lengths
 * @param rates - of the engine
 * @returns milliseconds
 */
export const nominalMs = ({ promptTokens, maxTokens }: Arrival, rates: NominalRates): number => {
  const prefillSteps = Math.max(1, Math.ceil(promptTokens / rates.chunkTokens))
  return (prefillSteps + Math.max(0, maxTokens - 1)) * rates.stepMs + promptTokens * rates.newTokenMs
}

/**
 * Puts the figures together.
 *
 * @param run - all outcomes
 * @param nominal - rates of an idle engine
 * @param ledgers - what the ledgers prove; null where none were read
 * @returns the figures
 */
export const makeReport = (run: LoadRecords, nominal: NominalRates, ledgers: LedgerProof | null): LoadReport => {
  const { records } = run
  const answered = ofType(records, 'answered')
  const completions = answered.filter(({ arrival }) => arrival.kind === ArrivalKind.Completion)
  const orders = answered.filter(({ arrival }) => arrival.kind === ArrivalKind.Order)
  const refused = ofType(records, 'refused')
  const failed = ofType(records, 'failed')
  const [wrong, late, broken] = [ofType(records, 'wrong'), ofType(records, 'late'), ofType(records, 'broken')]
  const tokens = completions.reduce((sum, { outcome }) => sum + outcome.tokens, 0)
  return {
    offered: records.length + run.dropped,
    admitted: records.length - refused.length,
    answered: answered.length,
    refused: refused.length,
    failed: failed.length,
    lost: wrong.length + late.length + broken.length + (ledgers?.phantom ?? 0),
    doubled: ledgers?.doubled ?? 0,
    wrong: wrong.length,
    late: late.length,
    broken: broken.length,
    sentAgain: records.filter(({ sends, arrival }) => sends > (arrival.twice ? 2 : 1)).length,
    dropped: run.dropped,
    refusedByCode: tally(refused.map(({ outcome }) => outcome.code)),
    failedByCode: tally(failed.map(({ outcome }) => outcome.code)),
    reasons: tally([...wrong, ...broken].map(({ outcome }) => outcome.reason)),
    firstTokenMs: summarise(completions.map(({ arrival, outcome }) => [lengthClassOf(arrival.promptTokens), outcome.firstTokenMs])),
    slowdown: summarise(completions.map(({ arrival, outcome }) => [lengthClassOf(arrival.promptTokens), outcome.totalMs / nominalMs(arrival, nominal)])),
    orderMs: summarise(orders.map(({ outcome }) => ['order', outcome.totalMs])),
    refusalMs: summarise(refused.map(({ outcome }) => ['refusal', outcome.totalMs])),
    tokensPerSecond: Math.round(tokens * MS_PER_SECOND / run.durationMs),
    durationMs: Math.round(run.durationMs),
    ledgers
  }
}
