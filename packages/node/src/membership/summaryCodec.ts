/** Encoding of dispatch summaries as gossip values. */
import { gossipWire } from '@bluebellhill/protocol'
import type { DispatchSummary } from '@bluebellhill/domain'

const whole = (amount: number): number => Math.max(0, Math.round(amount))

/**
 * @param summary - one model's state
 * @returns contents of its gossip value
 */
export const encodeSummary = (summary: DispatchSummary): Uint8Array =>
  gossipWire.ModelSummary.encode({
    model: '',
    runners: summary.runners,
    freeTokens: BigInt(whole(summary.freeTokens)),
    freeSlots: whole(summary.freeSlots),
    largestPrompt: whole(summary.largestPrompt),
    queueDelayMs: summary.queueDelay.map(whole),
    prefillRate: whole(summary.prefillRate)
  }).finish()

/**
 * @param model - model, which the value's topic names
 * @param bytes - contents of the gossip value
 * @returns the model's state
 * @throws Error where the contents are not a summary
 */
export const decodeSummary = (model: string, bytes: Uint8Array): DispatchSummary => {
  const summary = gossipWire.ModelSummary.decode(bytes)
  return {
    model,
    runners: summary.runners,
    freeTokens: Number(summary.freeTokens),
    freeSlots: summary.freeSlots,
    largestPrompt: summary.largestPrompt,
    queueDelay: summary.queueDelayMs,
    prefillRate: summary.prefillRate
  }
}
