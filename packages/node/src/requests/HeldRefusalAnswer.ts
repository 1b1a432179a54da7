/** Holds back the refusal of a request until its idempotency key is free again. */
import { Ran } from '@bluebellhill/domain'
import type { Outcome } from '@bluebellhill/domain'

import { Answer } from './Answer.js'
import type { AnswerEnd } from './Answer.js'

/** Passes everything on to another answer at once, except the failure of a request that has not run. */
export class HeldRefusalAnswer extends Answer {
  readonly #answer: Answer
  #refusal: Outcome | null = null

  /** @param answer - the answer to the caller */
  constructor (answer: Answer) {
    super()
    this.#answer = answer
  }

  writeText (text: string): boolean {
    return this.#answer.writeText(text)
  }

  async drained (): Promise<void> {
    await this.#answer.drained()
  }

  end (end: AnswerEnd): void {
    this.#answer.end(end)
  }

  fail (outcome: Outcome): void {
    if (outcome.ran === Ran.No) this.#refusal = outcome
    else this.#answer.fail(outcome)
  }

  /** Sends the refusal that is held back, if there is one. */
  sendRefusal (): void {
    if (this.#refusal !== null) this.#answer.fail(this.#refusal)
    this.#refusal = null
  }
}
