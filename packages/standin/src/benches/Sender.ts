/** Sends the completions of the overhead bench. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import type { Disposable } from '../Disposables.js'
import { MODEL } from '../fleet/index.js'
import type { Fleet } from '../fleet/index.js'
import { Caller } from '../load/index.js'
import type { CallOutcome } from '../load/index.js'
import { PromptMaker } from '../load/PromptMaker.js'
import { answerSeed, answerText, preparePrompt } from '../text.js'

/** Length of each prompt, in tokens. */
export const PROMPT_TOKENS = 1_000

const DEADLINE_MS = 30_000
const GRACE_MS = 3_000

/** Sends completions of one size, each with its own prompt. */
export class Sender implements Disposable {
  private readonly caller = new Caller(DEADLINE_MS, GRACE_MS)
  private readonly prompts: PromptMaker
  readonly random: RandomGenerator
  private next = 0

  /**
   * @param seed - of prompts and draws
   * @param fleet - whose API key is used
   */
  constructor (seed: number, private readonly fleet: Fleet) {
    this.prompts = new PromptMaker(seed)
    this.random = xoroshiro128plus(seed)
  }

  /**
   * Sends a completion with a prompt of its own.
   *
   * @param target - node or engine
   * @param maxTokens - length of the answer
   * @returns how it ended
   */
  async send (target: string, maxTokens: number): Promise<CallOutcome> {
    const prompt = this.prompts.make({ id: this.next++, kind: 'completion', atMs: 0, organisation: 0, promptTokens: PROMPT_TOKENS, maxTokens, twice: false })
    const expected = answerText(answerSeed(preparePrompt(prompt).bytes), 0, maxTokens)
    return await this.caller.complete(target, { apiKey: this.fleet.plan.organisations[0]!.apiKey, model: MODEL, prompt, maxTokens, expected })
  }

  async dispose (): Promise<void> {
    await this.caller.dispose()
  }
}
