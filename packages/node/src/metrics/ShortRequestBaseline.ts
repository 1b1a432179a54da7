/** What short requests take when nothing stands in their way, learned from the fastest of them. */
import type { Millis, Tokens } from '@bluebellhill/domain'

/** The share of requests that are faster than the baseline. */
const BASELINE_QUANTILE = 0.1

/** Share of the estimate by which one sample moves it. */
const ADJUSTMENT_RATE = 0.05

/** Prompt tokens of one bucket of first-token times. */
const BUCKET_TOKENS = 512

/** Models whose baselines are kept; the one that was not seen for longest is forgotten first. */
const MAX_MODELS = 64

/** Follows a low quantile of a stream of positive samples. */
class LowQuantileEstimator {
  #value: number | null = null

  get value (): number | null {
    return this.#value
  }

  addSample (sample: number): void {
    if (!Number.isFinite(sample) || sample <= 0) return
    if (this.#value === null) this.#value = sample
    else this.#value *= 1 + ADJUSTMENT_RATE * (BASELINE_QUANTILE - (sample < this.#value ? 1 : 0))
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
  readonly #firstTokens = new Map<number, LowQuantileEstimator>()
  readonly #pause = new LowQuantileEstimator()

  addSample (request: ShortRequest): void {
    this.#firstTokenEstimator(request.promptTokens).addSample(request.firstToken)
    if (request.generated > 1) this.#pause.addSample(pauseOf(request))
  }

  estimateDuration (request: ShortRequest): Millis {
    const first = this.#firstTokenEstimator(request.promptTokens).value ?? request.firstToken
    const pause = this.#pause.value ?? pauseOf(request)
    return first + pause * Math.max(0, request.generated - 1)
  }

  #firstTokenEstimator (promptTokens: Tokens): LowQuantileEstimator {
    const bucket = Math.floor(promptTokens / BUCKET_TOKENS)
    const quantile = this.#firstTokens.get(bucket) ?? new LowQuantileEstimator()
    this.#firstTokens.set(bucket, quantile)
    return quantile
  }
}

const pauseOf = ({ generated, duration, firstToken }: ShortRequest): Millis =>
  generated > 1 ? (duration - firstToken) / (generated - 1) : 0

/** Learns, for each model, what short requests take alone. */
export class ShortRequestBaseline {
  readonly #models = new Map<string, ModelBaseline>()

  /**
   * Learns from a request and tells what it would have taken.
   *
   * @param request - a short request that was answered
   * @returns the expected duration; its own where it is the first of its kind
   */
  recordAndEstimate (request: ShortRequest): Millis {
    const baseline = this.#models.get(request.model) ?? new ModelBaseline()
    this.#models.delete(request.model)
    this.#models.set(request.model, baseline)
    const [oldest] = this.#models.keys()
    if (this.#models.size > MAX_MODELS && oldest !== undefined) this.#models.delete(oldest)
    baseline.addSample(request)
    return baseline.estimateDuration(request)
  }
}
