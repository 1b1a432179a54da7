/** Estimates how long short requests take on an idle engine, from the fastest requests of each model. */
import type { Millis, Tokens } from '@bluebellhill/domain'

/** Share of the requests that are faster than the baseline. */
const BASELINE_QUANTILE = 0.1

/** Step of the quantile estimate at each sample, as a share of the estimate. */
const ADJUSTMENT_RATE = 0.05

/** Times to first token are grouped by prompt length in buckets of this many tokens. */
const BUCKET_TOKENS = 512

/** Maximum number of models with a baseline; the least recently used baseline is removed first. */
const MAX_MODELS = 64

/** Estimates a low quantile of a stream of positive samples in constant memory. */
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

/** Baselines of one model: the time to first token by prompt length, and the pause between tokens. */
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

/** Estimates, for each model, the duration of short requests on an idle engine. */
export class ShortRequestBaseline {
  readonly #models = new Map<string, ModelBaseline>()

  /**
   * Adds a request to the baseline of its model and estimates its duration on an idle engine.
   *
   * @param request - a short request that was answered
   * @returns the estimated duration; the actual duration if it is the first request of its model
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
