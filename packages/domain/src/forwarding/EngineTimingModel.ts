/**
 * Predicts prefill, pass and decode times of an engine from its published figures. Engines work in passes: a pass includes
 * prefill and runs `stepsPerPass` token steps if any request is being decoded.
 */
import type { Millis, Tokens } from '../types.js'
import type { EngineFigures } from './types.js'

const TOKENS_PER_THOUSAND = 1_000
const PAIRS_PER_MILLION = 1_000_000

/** Timing predictions for the engines of one service. */
export class EngineTimingModel {
  /** @param figures - speed and size that the service publishes */
  constructor (readonly figures: EngineFigures) {}

  /**
   * @param prompt - length of the prompt
   * @param segments - number of engines among which its prefill is divided evenly
   * @returns prefill time on each of these engines
   */
  prefillTime (prompt: Tokens, segments = 1): Millis {
    const pairs = prompt * prompt / 2 / PAIRS_PER_MILLION
    return (prompt / this.figures.readTokensPerMs + pairs * this.figures.readPerMillionPairs) / segments
  }

  /**
   * @param requests - number of requests that are being decoded
   * @param context - total tokens of their prompts and answers
   * @returns duration of one pass without prefill; 0 if no request is being decoded
   */
  passTime (requests: number, context: Tokens): Millis {
    if (requests === 0) return 0
    const { step, stepPerWriter, stepPerThousandContext, stepsPerPass } = this.figures
    return stepsPerPass * (step + requests * stepPerWriter + context / TOKENS_PER_THOUSAND * stepPerThousandContext)
  }

  /**
   * @param answer - tokens of an answer
   * @param requests - number of requests that are decoded at the same time
   * @param context - total tokens of their prompts and answers
   * @returns time to decode the answer if no prefill interrupts it
   */
  decodeTime (answer: Tokens, requests: number, context: Tokens): Millis {
    return Math.ceil(answer / this.figures.stepsPerPass) * this.passTime(requests, context)
  }
}
