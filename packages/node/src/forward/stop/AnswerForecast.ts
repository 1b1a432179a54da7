/** Predicts how long an attempt takes until its answer is complete. */
import { AnswerTimes, EngineTimingModel } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

import type { AdmittedCall } from '../AdmittedCall.js'

/** What is known of the time that answers take at most: of plain services from earlier answers, of engines from their figures too. */
export class AnswerForecast {
  readonly #times = new AnswerTimes()

  /**
   * Records a complete answer.
   *
   * @param call - the request
   * @param took - time from its sending to the end of the answer
   */
  answered ({ service, route }: AdmittedCall, took: Millis): void {
    this.#times.observe(keyOf(service.name, route.name), took)
  }

  /**
   * @param call - a request
   * @param firstEvent - predicted time until its first event; absent if it is not placed, and the engine is taken to be idle until then
   * @returns time from its sending to the end of its answer that is hardly exceeded; null if too little is known
   */
  longest ({ service, route, size }: AdmittedCall, firstEvent?: Millis): Millis | null {
    const observed = this.#times.longest(keyOf(service.name, route.name))
    const { engine } = service
    if (engine === null || size.mostAnswer === 0) return observed
    const model = new EngineTimingModel(engine)
    const decoding = model.decodeTime(size.mostAnswer, engine.slots, engine.memory)
    return (firstEvent ?? model.prefillTime(size.prompt)) + Math.min(decoding, observed ?? decoding)
  }
}

const keyOf = (service: string, route: string): string => `${service}/${route}`
