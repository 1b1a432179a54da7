/** One answer of the engine: its text, how much of it was sent, and where it goes. */
import { answerText } from '../text.js'
import type { AnswerSeed } from '../text.js'
import type { AnswerSink } from './AnswerSink.js'
import type { Sequence } from './Sequence.js'
import { SequenceState } from './types.js'

/** What a completion asked for. */
export interface AnswerSpec {
  readonly requestId: string
  readonly model: string
  readonly seed: AnswerSeed
  readonly promptTokens: number
  readonly maxTokens: number
}

/** Follows a sequence and writes its tokens as events. */
export class AnswerStream {
  sink: AnswerSink | null = null
  sent = 0
  /** When the connection was lost; null while a reader is attached. */
  lostAt: number | null = null
  /** Set when the last event was handed to the reader. */
  finished = false
  /** Tokens after which the connection is cut; null for none. */
  cutAt: number | null = null
  stalled = false

  /**
   * @param spec - the request
   * @param sequence - its place in the batch
   * @param startedAt - time of arrival, in milliseconds
   */
  constructor (readonly spec: AnswerSpec, readonly sequence: Sequence, readonly startedAt: number) {}

  /** Whether tokens wait for the reader and it can take them. */
  get isDue (): boolean {
    if (this.sink === null || !this.sink.ready || this.stalled) return false
    return this.sequence.generated > this.sent || (this.isComplete && !this.finished)
  }

  /** Whether the last token was generated. */
  get isComplete (): boolean {
    return this.sequence.state === SequenceState.Done
  }

  /**
   * Writes the tokens not yet sent as one event.
   *
   * @param id - the id put into the event
   * @param limit - offset after the last token that may be sent
   * @returns the event and, after the last token, the end mark
   */
  takeEvents (id: string, limit = Infinity): string {
    const from = this.sent
    this.sent = Math.min(limit, this.sequence.generated)
    const text = answerText(this.spec.seed, from, this.sent)
    const last = this.isComplete && this.sent === this.sequence.generated
    const finishReason = last ? '"length"' : 'null'
    const usage = last ? `{"prompt_tokens":${this.spec.promptTokens},"completion_tokens":${this.sent}}` : 'null'
    const event = `data: {"id":"${id}","object":"text_completion","model":"${this.spec.model}","offset":${from},"tokens":${this.sent - from},"choices":[{"index":0,"text":"${text}","finish_reason":${finishReason}}],"usage":${usage}}\n\n`
    return last ? `${event}data: [DONE]\n\n` : event
  }
}
