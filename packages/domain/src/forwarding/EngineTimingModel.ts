/** Predicts how long an engine reads a prompt and how long its passes last, from the published figures. */
import type { Millis, Tokens } from '../types.js'
import type { EngineFigures } from './types.js'

const TOKENS_PER_THOUSAND = 1_000
const PAIRS_PER_MILLION = 1_000_000

/** Timings of one kind of engine. */
export class EngineTimingModel {
  /** @param figures - what the service publishes */
  constructor (readonly figures: EngineFigures) {}

  /**
   * @param prompt - length of the prompt
   * @param segments - engines among which its reading is divided evenly
   * @returns the time that each of them reads
   */
  prefillTime (prompt: Tokens, segments = 1): Millis {
    const pairs = prompt * prompt / 2 / PAIRS_PER_MILLION
    return (prompt / this.figures.readTokensPerMs + pairs * this.figures.readPerMillionPairs) / segments
  }

  /**
   * @param requests - requests that are written for
   * @param context - tokens of their prompts and answers together
   * @returns the length of one pass without reading; 0 where nothing is written
   */
  passTime (requests: number, context: Tokens): Millis {
    if (requests === 0) return 0
    const { step, stepPerWriter, stepPerThousandContext, stepsPerPass } = this.figures
    return stepsPerPass * (step + requests * stepPerWriter + context / TOKENS_PER_THOUSAND * stepPerThousandContext)
  }

  /**
   * @param answer - tokens of an answer
   * @param requests - requests that are written for at the same time
   * @param context - tokens of their prompts and answers together
   * @returns the time to write the answer, without any reading between
   */
  decodeTime (answer: Tokens, requests: number, context: Tokens): Millis {
    return Math.ceil(answer / this.figures.stepsPerPass) * this.passTime(requests, context)
  }
}
