/** The running engine: steps its batch on a clock, feeds the answers and frees memory when they end. */
import type { Disposable } from '../Disposables.js'
import { takeFault } from '../faults.js'
import type { AnswerSink } from './AnswerSink.js'
import { AnswerStream } from './AnswerStream.js'
import type { AnswerSpec } from './AnswerStream.js'
import { BatchScheduler } from './BatchScheduler.js'
import type { Step } from './BatchScheduler.js'
import type { BlockMemory } from './BlockMemory.js'
import { CATCH_UP_MS } from './constants.js'
import { RunState } from './EngineLedger.js'
import type { EngineLedger } from './EngineLedger.js'
import type { EngineFaults } from './faults.js'
import { Sequence } from './Sequence.js'
import { DisconnectRule, SequenceState } from './types.js'
import type { EngineOptions, SequenceSpec, Submission } from './types.js'

const FOREIGN_ID = 'another-request'
const STALL_CHECK_MS = 10
const LEAST_TIMER_MS = 1

/** Steps the batch and delivers its tokens. */
export class Engine implements Disposable {
  readonly scheduler: BatchScheduler
  private readonly streams = new Map<string, AnswerStream>()
  private readonly prefills = new Map<Sequence, () => void>()
  private step: Step | null = null
  private stepEndsAt = 0
  private timer: NodeJS.Timeout | null = null

  /**
   * @param options - sizes and times
   * @param memory - the engine's blocks
   * @param faults - switches, read at each use
   * @param ledger - record of executions
   */
  constructor (
    private readonly options: EngineOptions,
    readonly memory: BlockMemory,
    private readonly faults: EngineFaults,
    private readonly ledger: EngineLedger
  ) {
    this.scheduler = new BatchScheduler(options, memory)
  }

  /**
   * Finds an answer in progress or still held.
   *
   * @param requestId - the attempt
   * @returns the answer, if the engine knows it
   */
  find (requestId: string): AnswerStream | null {
    return this.streams.get(requestId) ?? null
  }

  /** Answers that hold memory or wait for it. */
  get live (): readonly AnswerStream[] {
    return [...this.streams.values()]
  }

  /**
   * Queues a completion.
   *
   * @param spec - what is answered
   * @param sequence - its sizes
   * @returns the answer, or why it was not started
   */
  open (spec: AnswerSpec, sequence: SequenceSpec): AnswerStream | Exclude<Submission, 'accepted'> {
    const submitted = this.scheduler.submit(sequence)
    if (!(submitted instanceof Sequence)) return submitted
    const stream = new AnswerStream(spec, submitted, this.now())
    this.streams.set(spec.requestId, stream)
    this.wake()
    return stream
  }

  /**
   * Queues a prefill without an answer.
   *
   * @param spec - its sizes; `maxTokens` is 0
   * @param done - called when it is computed; the caller then owns the sequence's memory
   * @returns the sequence, or why it was not started
   */
  prefill (spec: SequenceSpec, done: () => void): Sequence | Exclude<Submission, 'accepted'> {
    const sequence = this.scheduler.submit(spec)
    if (!(sequence instanceof Sequence)) return sequence
    this.prefills.set(sequence, done)
    this.wake()
    return sequence
  }

  /**
   * Frees a prefill, whether it still runs or is held.
   *
   * @param sequence - as returned by `prefill`
   */
  releasePrefill (sequence: Sequence): void {
    const done = this.prefills.get(sequence)
    this.prefills.delete(sequence)
    this.scheduler.remove(sequence)
    done?.()
  }

  /**
   * Lets a reader follow an answer.
   *
   * @param stream - the answer
   * @param sink - the reader; a former one is cut
   * @param offset - first token it wants
   */
  attach (stream: AnswerStream, sink: AnswerSink, offset: number): void {
    stream.sink?.dispose()
    stream.sink = sink
    stream.sent = offset
    stream.lostAt = null
    stream.finished = false
    this.flush(stream)
  }

  /**
   * Notes that a reader vanished.
   *
   * @param stream - the answer it followed
   * @param sink - the reader
   */
  detach (stream: AnswerStream, sink: AnswerSink): void {
    if (stream.sink !== sink) return
    stream.sink = null
    if (stream.finished) return
    stream.lostAt = this.now()
    if (this.options.onDisconnect === DisconnectRule.Cancel) this.cancel(stream.spec.requestId)
    else if (this.options.onDisconnect === DisconnectRule.Finish && stream.isComplete) this.freeLater(stream)
  }

  /**
   * Sends what a reader could not take before.
   *
   * @param stream - the answer
   */
  flush (stream: AnswerStream): void {
    if (!stream.isDue) return
    const sink = stream.sink!
    const wrong = stream.sent === 0 && takeFault(this.faults, 'wrongId')
    const events = stream.takeEvents(wrong ? FOREIGN_ID : stream.spec.requestId, stream.cutAt ?? Infinity)
    if (stream.cutAt !== null && stream.sent >= stream.cutAt) this.cut(stream, sink, events)
    else this.deliver(stream, sink, events)
  }

  /**
   * Stops an answer and frees its memory.
   *
   * @param requestId - the attempt
   * @returns whether there was one
   */
  cancel (requestId: string): boolean {
    const stream = this.streams.get(requestId)
    if (!stream) return false
    this.forget(stream, stream.isComplete ? RunState.Done : RunState.Cancelled)
    const sink = stream.sink
    stream.sink = null
    sink?.dispose()
    return true
  }

  dispose (): void {
    if (this.timer) clearTimeout(this.timer)
    for (const stream of this.live) stream.sink?.dispose()
  }

  private now (): number {
    return performance.now()
  }

  private wake (): void {
    if (this.step) return
    this.begin(this.now())
    this.schedule()
  }

  private begin (at: number): void {
    this.scheduler.ignorePriorities = this.faults.ignorePriorities
    this.step = this.scheduler.plan()
    if (this.step) this.stepEndsAt = at + this.step.durationMs * this.faults.slowFactor
  }

  private schedule (): void {
    if (!this.step) return
    const wait = this.faults.stalled ? STALL_CHECK_MS : Math.max(LEAST_TIMER_MS, this.stepEndsAt - this.now())
    this.timer = setTimeout(() => this.run(), wait)
  }

  private run (): void {
    const now = this.now()
    const advanced = new Set<AnswerStream>()
    if (this.faults.stalled) this.stepEndsAt = Math.max(this.stepEndsAt, now)
    else this.runDueSteps(now, advanced)
    this.deliverAll([...advanced])
    this.schedule()
  }

  private runDueSteps (now: number, advanced: Set<AnswerStream>): void {
    if (this.step && this.stepEndsAt <= now) this.ledger.wake(now - this.stepEndsAt)
    while (this.step && this.stepEndsAt <= now) {
      for (const sequence of this.scheduler.commit(this.step)) this.advance(sequence, advanced)
      this.begin(Math.max(this.stepEndsAt, now - CATCH_UP_MS))
    }
  }

  private advance (sequence: Sequence, advanced: Set<AnswerStream>): void {
    const done = this.prefills.get(sequence)
    if (done) {
      this.prefills.delete(sequence)
      done()
      return
    }
    const stream = this.streams.get(sequence.spec.id)
    if (stream) advanced.add(stream)
  }

  private deliverAll (streams: AnswerStream[]): void {
    if (this.faults.crossed > 0) this.cross(streams)
    for (const stream of streams) {
      if (stream.isComplete) this.ledger.end(stream.spec.requestId, RunState.Done, stream.sequence.generated)
      if (stream.sink) this.flush(stream)
      else if (stream.isComplete && this.options.onDisconnect === DisconnectRule.Finish) this.freeLater(stream)
    }
  }

  /** Sends two streams' events to each other's readers. */
  private cross (streams: readonly AnswerStream[]): void {
    const [one, other] = streams.filter((stream) => stream.isDue && !stream.isComplete)
    if (!one || !other) return
    this.faults.crossed--
    const [oneSink, otherSink] = [one.sink!, other.sink!]
    oneSink.write(other.takeEvents(other.spec.requestId))
    otherSink.write(one.takeEvents(one.spec.requestId))
  }

  private deliver (stream: AnswerStream, sink: AnswerSink, events: string): void {
    if (!stream.isComplete) {
      sink.write(events)
      return
    }
    stream.finished = true
    sink.end(events)
    this.forget(stream, RunState.Done)
  }

  private cut (stream: AnswerStream, sink: AnswerSink, events: string): void {
    stream.cutAt = null
    sink.cut(events)
    this.detach(stream, sink)
  }

  private freeLater (stream: AnswerStream): void {
    setTimeout(() => {
      const unread = stream.sink === null && stream.lostAt !== null
      if (unread && this.streams.get(stream.spec.requestId) === stream) this.forget(stream, RunState.Done)
    }, this.options.resumeWindowMs).unref()
  }

  private forget (stream: AnswerStream, state: RunState): void {
    this.streams.delete(stream.spec.requestId)
    this.ledger.end(stream.spec.requestId, state, stream.sequence.generated)
    if (stream.sequence.state !== SequenceState.Gone) this.scheduler.remove(stream.sequence)
    this.wake()
  }
}
