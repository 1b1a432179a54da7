/** Aggregates dispatch summaries for the other failure domains. */
import type { DispatchSummary } from '../dispatch/types.js'

/**
 * Aggregates the summaries of one model: amounts are summed, the largest prompt is the maximum, and the queue delay is the
 * mean over the runners.
 *
 * @param summaries - one model's summaries, at least one
 * @returns the summary of all runners together
 * @throws RangeError if `summaries` is empty
 */
export const aggregateSummaries = (summaries: readonly DispatchSummary[]): DispatchSummary => {
  const [first] = summaries
  if (first === undefined) throw new RangeError('no summaries to aggregate')
  const sum = (pick: (summary: DispatchSummary) => number): number => summaries.reduce((total, summary) => total + pick(summary), 0)
  const runners = sum((summary) => summary.runners)
  const meanDelay = (lengthClass: number): number =>
    runners === 0 ? 0 : Math.round(sum((summary) => summary.runners * (summary.queueDelay[lengthClass] ?? 0)) / runners)
  return {
    model: first.model,
    runners,
    freeTokens: sum((summary) => summary.freeTokens),
    freeSlots: sum((summary) => summary.freeSlots),
    largestPrompt: Math.max(...summaries.map((summary) => summary.largestPrompt)),
    queueDelay: first.queueDelay.map((_, lengthClass) => meanDelay(lengthClass)),
    prefillRate: sum((summary) => summary.prefillRate)
  }
}
