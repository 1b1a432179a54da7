/** Reads the stand-ins' ledgers and holds them against what the callers were told. */
import { request } from 'undici'

import type { RequestRecord } from './types.js'

const TIMEOUT_MS = 5_000

/** The parts of a ledger that proofs use. */
export interface Ledger {
  readonly runs?: readonly { readonly digest: string, readonly state: string }[]
  /** Executions by key, of a plain service. */
  readonly executions?: Readonly<Record<string, number>>
  readonly executionsByKey?: Readonly<Record<string, number>>
  readonly heldTokens?: number
  readonly importedTokens?: number
  readonly lateness?: { readonly wakes: number, readonly meanMs: number, readonly maxMs: number }
}

/** What the ledgers prove. */
export interface LedgerProof {
  /** Orders that ran more than once. */
  readonly doubled: number
  /** Orders answered as run that no service ran. */
  readonly phantom: number
  /** Refused as not run, but run. */
  readonly untruthful: number
  /** Tokens held by engines after the run. */
  readonly heldTokens: number
  /** Completions that engines ran more than once. */
  readonly repeatedRuns: number
  readonly readable: number
  /** Mean time in milliseconds by which the machine ran the engines' steps too late. */
  readonly engineLatenessMs: number
}

/**
 * Reads ledgers.
 *
 * @param addresses - control addresses of the stand-ins
 * @returns the ledgers of those that answer
 */
export const readLedgers = async (addresses: readonly string[]): Promise<Ledger[]> => {
  const read = async (address: string): Promise<Ledger | null> => {
    try {
      const { body } = await request(`http://${address}/ledger`, { signal: AbortSignal.timeout(TIMEOUT_MS) })
      return await body.json() as Ledger
    } catch {
      return null
    }
  }
  return (await Promise.all(addresses.map(read))).filter((ledger) => ledger !== null)
}

const countBy = (ledgers: readonly Ledger[]): { orders: Map<string, number>, runs: Map<string, number> } => {
  const orders = new Map<string, number>()
  const runs = new Map<string, number>()
  for (const ledger of ledgers) {
    for (const [key, count] of Object.entries(ledger.executions ?? {})) orders.set(key, (orders.get(key) ?? 0) + count)
    for (const { digest } of ledger.runs ?? []) runs.set(digest, (runs.get(digest) ?? 0) + 1)
  }
  return { orders, runs }
}

const meanLateness = (ledgers: readonly Ledger[]): number => {
  const known = ledgers.flatMap(({ lateness }) => lateness ? [lateness] : [])
  const wakes = known.reduce((sum, lateness) => sum + lateness.wakes, 0)
  const late = known.reduce((sum, lateness) => sum + lateness.wakes * lateness.meanMs, 0)
  return wakes === 0 ? 0 : Math.round(late * 1_000 / wakes) / 1_000
}

const ran = ({ key, digest }: RequestRecord, orders: ReadonlyMap<string, number>, runs: ReadonlyMap<string, number>): boolean =>
  key === null ? runs.has(digest ?? '') : orders.has(key)

/**
 * Holds ledgers against outcomes.
 *
 * @param ledgers - all that could be read
 * @param records - what the callers were told
 * @returns the counts
 */
export const proveByLedgers = (ledgers: readonly Ledger[], records: readonly RequestRecord[]): LedgerProof => {
  const { orders, runs } = countBy(ledgers)
  const refusedOnce = records.filter(({ outcome, sends, arrival }) => outcome.type === 'refused' && (sends === 1 || arrival.twice))
  const answeredOrders = records.filter(({ outcome, key }) => key !== null && outcome.type === 'answered')
  return {
    doubled: [...orders.values()].filter((count) => count > 1).length,
    phantom: answeredOrders.filter(({ key }) => !orders.has(key!)).length,
    untruthful: refusedOnce.filter((record) => ran(record, orders, runs)).length,
    heldTokens: ledgers.reduce((sum, { heldTokens, importedTokens }) => sum + (heldTokens ?? 0) + (importedTokens ?? 0), 0),
    repeatedRuns: [...runs.values()].filter((count) => count > 1).length,
    readable: ledgers.length,
    engineLatenessMs: meanLateness(ledgers)
  }
}
