/** Estimates prompt lengths in tokens, from the average bytes per token in the usage that engines report for each model. */
import type { Tokens } from '@bluebellhill/domain'

const INITIAL_BYTES_PER_TOKEN = 4
const SMOOTHING = 0.05

/** Keeps an exponential moving average of the bytes per token of each model. */
export class TokenEstimator {
  readonly #bytesPerToken = new Map<string, number>()

  /**
   * Estimates the length of a prompt in tokens.
   *
   * @param model - model that will process the prompt
   * @param bytes - the prompt's length in bytes
   * @returns estimated number of tokens, at least 1
   */
  estimate (model: string, bytes: number): Tokens {
    const ratio = this.#bytesPerToken.get(model) ?? INITIAL_BYTES_PER_TOKEN
    return Math.max(1, Math.ceil(bytes / ratio))
  }

  /**
   * Updates the average with a length that an engine counted.
   *
   * @param model - model that processed the prompt
   * @param bytes - the prompt's length in bytes
   * @param tokens - length of the prompt in tokens as the engine counted it
   */
  recordUsage (model: string, bytes: number, tokens: Tokens): void {
    if (tokens <= 0 || bytes <= 0) return
    const ratio = this.#bytesPerToken.get(model) ?? INITIAL_BYTES_PER_TOKEN
    this.#bytesPerToken.set(model, ratio + SMOOTHING * (bytes / tokens - ratio))
  }
}
