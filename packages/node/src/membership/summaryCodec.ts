/** Encodes dispatch summaries as gossip values; amounts are rounded to coarse units so that they need fewer bytes. */
import { gossipWire } from '@bluebellhill/protocol'
import { hashText, LENGTH_CLASSES } from '@bluebellhill/domain'
import type { DispatchSummary } from '@bluebellhill/domain'

const TOKENS_PER_UNIT = 1_024
const DELAY_UNIT_MS = 10
const RATE_UNIT_TOKENS_PER_SECOND = 100

// Free capacity is rounded down and delays are rounded up, so that a summary never promises more than its dispatcher has.
const roundDownToUnits = (unit: number) => (amount: number): number => Math.max(0, Math.floor(amount / unit))
const roundUpToUnits = (unit: number) => (amount: number): number => Math.max(0, Math.ceil(amount / unit))

/**
 * @param summaries - one summary for each model
 * @returns contents of the gossip value
 */
export const encodeSummaries = (summaries: readonly DispatchSummary[]): Uint8Array =>
  gossipWire.ModelSummaries.encode({
    models: summaries.map(({ model }) => hashText(model)),
    runners: summaries.map(({ runners }) => runners),
    freeTokens: summaries.map(({ freeTokens }) => freeTokens).map(roundDownToUnits(TOKENS_PER_UNIT)),
    freeSlots: summaries.map(({ freeSlots }) => freeSlots).map(roundDownToUnits(1)),
    largestPrompt: summaries.map(({ largestPrompt }) => largestPrompt).map(roundDownToUnits(TOKENS_PER_UNIT)),
    queueDelay: summaries.flatMap(({ queueDelay }) => LENGTH_CLASSES.map((_, index) => queueDelay[index] ?? 0)).map(roundUpToUnits(DELAY_UNIT_MS)),
    prefillRate: summaries.map(({ prefillRate }) => prefillRate).map(roundDownToUnits(RATE_UNIT_TOKENS_PER_SECOND)),
    demand: summaries.flatMap(({ demand }) => LENGTH_CLASSES.map((_, index) => demand?.[index] ?? 0)).map(roundUpToUnits(RATE_UNIT_TOKENS_PER_SECOND))
  }).finish()

/**
 * @param model - name of the model
 * @param bytes - contents of a gossip value
 * @returns the model's summary, or null if the value has none
 * @throws Error if the contents are not encoded summaries
 */
export const decodeSummary = (model: string, bytes: Uint8Array): DispatchSummary | null => {
  const columns = gossipWire.ModelSummaries.decode(bytes)
  const row = columns.models.indexOf(hashText(model))
  if (row < 0) return null
  const cell = (column: readonly number[], index = row): number => column[index] ?? 0
  return {
    model,
    runners: cell(columns.runners),
    freeTokens: cell(columns.freeTokens) * TOKENS_PER_UNIT,
    freeSlots: cell(columns.freeSlots),
    largestPrompt: cell(columns.largestPrompt) * TOKENS_PER_UNIT,
    queueDelay: LENGTH_CLASSES.map((_, index) => cell(columns.queueDelay, row * LENGTH_CLASSES.length + index) * DELAY_UNIT_MS),
    prefillRate: cell(columns.prefillRate) * RATE_UNIT_TOKENS_PER_SECOND,
    demand: LENGTH_CLASSES.map((_, index) => cell(columns.demand, row * LENGTH_CLASSES.length + index) * RATE_UNIT_TOKENS_PER_SECOND)
  }
}
