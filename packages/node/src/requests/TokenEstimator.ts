/** Learns how many bytes of a prompt make one token, for each model, from the usage that engines report. */
import type { Tokens } from '@bluebellhill/domain'

const INITIAL_BYTES_PER_TOKEN = 4
const SMOOTHING = 0.05

/** Estimates the tokens of a prompt from its bytes. */
export class TokenEstimator {
  readonly #bytesPerToken = new Map<string, number>()

  /**
   * Estimates a prompt's length.
   *
   * @param model - the model that will read it
   * @param bytes - the prompt's length in bytes
   * @returns tokens, at least 1
   */
  estimate (model: string, bytes: number): Tokens {
    const ratio = this.#bytesPerToken.get(model) ?? INITIAL_BYTES_PER_TOKEN
    return Math.max(1, Math.ceil(bytes / ratio))
  }

  /**
   * Takes a measured length in.
   *
   * @param model - the model that read the prompt
   * @param bytes - the prompt's length in bytes
   * @param tokens - its length as the engine counted it
   */
  recordUsage (model: string, bytes: number, tokens: Tokens): void {
    if (tokens <= 0 || bytes <= 0) return
    const ratio = this.#bytesPerToken.get(model) ?? INITIAL_BYTES_PER_TOKEN
    this.#bytesPerToken.set(model, ratio + SMOOTHING * (bytes / tokens - ratio))
  }
}
