/** What short requests take when nothing stands in their way, learned from the fastest of them. */
import type { Millis, Tokens } from '@bluebellhill/domain'

/** The share of requests that are faster than the baseline. */
const QUANTILE = 0.1

/** Share of the estimate by which one sample moves it. */
const STEP = 0.05

/** Prompt tokens of one bucket of first-token times. */
const BUCKET_TOKENS = 512

/** Models whose baselines are kept; the one that was not seen for longest is forgotten first. */
const MAX_MODELS = 64

/** Follows a low quantile of a stream of positive samples. */
class LowQuantile {
  #value: number | null = null

  get value (): number | null {
    return this.#value
  }

  learn (sample: number): void {
    if (!Number.isFinite(sample) || sample <= 0) return
    if (this.#value === null) this.#value = sample
    else this.#value *= 1 + STEP * (QUANTILE - (sample < this.#value ? 1 : 0))
  }
}

/** A short request that was answered in one attempt. */
export interface ShortRequest {
  readonly model: string
  readonly promptTokens: Tokens
  readonly generated: Tokens
  readonly firstToken: Millis
  readonly duration: Millis
}

class ModelBaseline {
  readonly #firstTokens = new Map<number, LowQuantile>()
  readonly #gap = new LowQuantile()

  learn (request: ShortRequest): void {
    this.#firstToken(request.promptTokens).learn(request.firstToken)
    if (request.generated > 1) this.#gap.learn(gapOf(request))
  }

  expected (request: ShortRequest): Millis {
    const first = this.#firstToken(request.promptTokens).value ?? request.firstToken
    const gap = this.#gap.value ?? gapOf(request)
    return first + gap * Math.max(0, request.generated - 1)
  }

  #firstToken (promptTokens: Tokens): LowQuantile {
    const bucket = Math.floor(promptTokens / BUCKET_TOKENS)
    const quantile = this.#firstTokens.get(bucket) ?? new LowQuantile()
    this.#firstTokens.set(bucket, quantile)
    return quantile
  }
}

const gapOf = ({ generated, duration, firstToken }: ShortRequest): Millis =>
  generated > 1 ? (duration - firstToken) / (generated - 1) : 0

/** Learns, for each model, what short requests take alone. */
export class ShortBaseline {
  readonly #models = new Map<string, ModelBaseline>()

  /**
   * Learns from a request and tells what it would have taken.
   *
   * @param request - a short request that was answered
   * @returns the expected duration; its own where it is the first of its kind
   */
  expect (request: ShortRequest): Millis {
    const baseline = this.#models.get(request.model) ?? new ModelBaseline()
    this.#models.delete(request.model)
    this.#models.set(request.model, baseline)
    const [oldest] = this.#models.keys()
    if (this.#models.size > MAX_MODELS && oldest !== undefined) this.#models.delete(oldest)
    baseline.learn(request)
    return baseline.expected(request)
  }
}
