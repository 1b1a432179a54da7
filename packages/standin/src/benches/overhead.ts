/** What the path through a node adds to calling an engine directly. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { DEFAULT_FLEET_PLAN, Fleet, MODEL } from '../fleet/index.js'
import type { FleetPlan } from '../fleet/index.js'
import { Caller, ValueHistogram } from '../load/index.js'
import type { CallOutcome, Summary } from '../load/index.js'
import { PromptMaker } from '../load/PromptMaker.js'
import { uniformReal } from '../load/random.js'
import { answerSeed, answerText, preparePrompt } from '../text.js'
import { ProcessorShare } from './processorTime.js'
import { atLeast, atMost, Bench } from './types.js'
import type { BenchOptions, BenchReport } from './types.js'

const LEVELS = [1, 32, 256] as const
const PROMPT_TOKENS = 1_000
const ANSWER_TOKENS = 32
const PAIRS_MS = 8_000
const WARM_UP_MS = 2_000
const DEADLINE_MS = 30_000
const GRACE_MS = 3_000

const STREAMS = 256
const STREAM_TOKENS = 256
const STREAMS_MS = 10_000

const BOUND_ADDED_MS = 5
const BOUND_TOKENS_PER_SECOND = 9_500
const BOUND_CORES = 1

/** Two nodes of one failure domain, so that half of the grants come from the other node. */
const PLAN: FleetPlan = {
  ...DEFAULT_FLEET_PLAN,
  failureDomains: ['bayangol'],
  nodes: 2,
  engines: 4,
  plains: 0,
  logLevel: 'error',
  engineArgs: { slots: 256, 'step-ms': 2, 'new-token-ms': 0.0005, 'event-drop-rate': 0 }
}

/** Engines as slow as real ones, so that many streams run at once. */
const STREAMING_PLAN: FleetPlan = { ...PLAN, engineArgs: { ...PLAN.engineArgs, 'step-ms': 20 } }

interface LevelFigures {
  readonly streams: number
  readonly pairs: number
  readonly directMs: Summary
  readonly throughNodeMs: Summary
  /** Difference of the medians and of the 99th percentiles, in milliseconds. */
  readonly addedP50Ms: number
  readonly addedP99Ms: number
  /** Differences within pairs, by percentile, in milliseconds. */
  readonly pairedP50Ms: number
  readonly pairedP99Ms: number
  readonly unanswered: number
}

interface StreamFigures {
  readonly streams: number
  readonly tokensPerSecond: number
  readonly nodeCores: number
  readonly loadToolCores: number
  readonly unanswered: number
}

const round = (value: number): number => Math.round(value * 1_000) / 1_000

const percentile = (values: readonly number[], share: number): number =>
  values.length === 0 ? 0 : round(values[Math.min(values.length - 1, Math.floor(values.length * share))]!)

/** Sends completions of one size, each with its own prompt. */
class Sender {
  private readonly caller = new Caller(DEADLINE_MS, GRACE_MS)
  private readonly prompts: PromptMaker
  private next = 0

  constructor (seed: number, private readonly fleet: Fleet) {
    this.prompts = new PromptMaker(seed)
  }

  async send (target: string, maxTokens: number): Promise<CallOutcome> {
    const prompt = this.prompts.make({ id: this.next++, kind: 'completion', atMs: 0, organisation: 0, promptTokens: PROMPT_TOKENS, maxTokens, twice: false })
    const expected = answerText(answerSeed(preparePrompt(prompt).bytes), 0, maxTokens)
    return await this.caller.complete(target, { apiKey: this.fleet.plan.organisations[0]!.apiKey, model: MODEL, prompt, maxTokens, expected })
  }

  async dispose (): Promise<void> {
    await this.caller.dispose()
  }
}

/** Counts pairs of one level. */
class Pairs {
  readonly direct = new ValueHistogram()
  readonly throughNode = new ValueHistogram()
  readonly differences: number[] = []
  unanswered = 0

  add (direct: CallOutcome, throughNode: CallOutcome): void {
    if (direct.type !== 'answered' || throughNode.type !== 'answered') {
      this.unanswered++
      return
    }
    this.direct.record(direct.firstTokenMs)
    this.throughNode.record(throughNode.firstTokenMs)
    this.differences.push(throughNode.firstTokenMs - direct.firstTokenMs)
  }

  figures (streams: number): LevelFigures {
    const directMs = this.direct.summary()
    const throughNodeMs = this.throughNode.summary()
    const sorted = [...this.differences].sort((one, other) => one - other)
    return {
      streams,
      pairs: sorted.length,
      directMs,
      throughNodeMs,
      addedP50Ms: round(throughNodeMs.p50 - directMs.p50),
      addedP99Ms: round(throughNodeMs.p99 - directMs.p99),
      pairedP50Ms: percentile(sorted, 0.5),
      pairedP99Ms: percentile(sorted, 0.99),
      unanswered: this.unanswered
    }
  }
}

/** Pairs each call through the node with one straight to an engine, in the same run and in random order. */
export class OverheadBench extends Bench {
  override readonly name = 'overhead'
  override readonly description = 'time that the path through a node adds, and streamed tokens a second through one node'

  override async run ({ seed, progress }: BenchOptions): Promise<BenchReport> {
    const levels = await this.measureLevels(seed, progress)
    const streaming = await this.measureStreaming(seed, progress)
    const at32 = levels.find(({ streams }) => streams === 32)!
    return {
      bench: this.name,
      seed,
      figures: { promptTokens: PROMPT_TOKENS, answerTokens: ANSWER_TOKENS, levels, streaming },
      bounds: [
        atMost('p99 added to the first token at 32 streams, ms', at32.addedP99Ms, BOUND_ADDED_MS),
        atLeast('streamed tokens a second through one node', streaming.tokensPerSecond, BOUND_TOKENS_PER_SECOND),
        atMost('cores of the node while streaming', streaming.nodeCores, BOUND_CORES)
      ]
    }
  }

  private async measureLevels (seed: number, progress: (line: string) => void): Promise<LevelFigures[]> {
    return await this.withFleet(PLAN, seed, async (fleet, sender) => {
      const levels: LevelFigures[] = []
      await this.pairLevel(fleet, sender, 32, seed, WARM_UP_MS)
      for (const streams of LEVELS) {
        const figures = (await this.pairLevel(fleet, sender, streams, seed + streams, PAIRS_MS)).figures(streams)
        progress(`${streams} streams: first token ${figures.directMs.p50} ms direct, ${figures.throughNodeMs.p50} ms through the node (p50); added p99 ${figures.addedP99Ms} ms; ${figures.pairs} pairs`)
        levels.push(figures)
      }
      return levels
    })
  }

  private async pairLevel (fleet: Fleet, sender: Sender, streams: number, seed: number, forMs: number): Promise<Pairs> {
    const pairs = new Pairs()
    const random = xoroshiro128plus(seed)
    const engines = fleet.engines.map(({ process }) => process.address('address'))
    const node = fleet.callerAddresses[0]!
    const end = performance.now() + forMs
    const work = async (worker: number): Promise<void> => {
      while (performance.now() < end) {
        const direct = async (): Promise<CallOutcome> => await sender.send(engines[worker % engines.length]!, ANSWER_TOKENS)
        const through = async (): Promise<CallOutcome> => await sender.send(node, ANSWER_TOKENS)
        if (uniformReal(random) < 0.5) pairs.add(await direct(), await through())
        else {
          const outcome = await through()
          pairs.add(await direct(), outcome)
        }
      }
    }
    await Promise.all(Array.from({ length: streams }, async (_, worker) => await work(worker)))
    return pairs
  }

  private async measureStreaming (seed: number, progress: (line: string) => void): Promise<StreamFigures> {
    return await this.withFleet(STREAMING_PLAN, seed, async (fleet, sender) => {
      const node = fleet.nodes[0]!.process
      await this.stream(sender, node.address('caller'), WARM_UP_MS)
      const [nodeShare, ownShare] = [new ProcessorShare(node.pid), new ProcessorShare(process.pid)]
      const startedAt = performance.now()
      const { tokens, unanswered } = await this.stream(sender, node.address('caller'), STREAMS_MS)
      const tokensPerSecond = Math.round(tokens * 1_000 / (performance.now() - startedAt))
      const figures = { streams: STREAMS, tokensPerSecond, nodeCores: nodeShare.cores, loadToolCores: ownShare.cores, unanswered }
      progress(`${STREAMS} streams through one node: ${tokensPerSecond} tokens/s, ${figures.nodeCores} of a core`)
      return figures
    })
  }

  private async stream (sender: Sender, node: string, forMs: number): Promise<{ tokens: number, unanswered: number }> {
    const total = { tokens: 0, unanswered: 0 }
    const end = performance.now() + forMs
    const work = async (): Promise<void> => {
      while (performance.now() < end) {
        const outcome = await sender.send(node, STREAM_TOKENS)
        if (outcome.type === 'answered') total.tokens += outcome.tokens
        else total.unanswered++
      }
    }
    await Promise.all(Array.from({ length: STREAMS }, work))
    return total
  }

  private async withFleet<Figures> (plan: FleetPlan, seed: number, measure: (fleet: Fleet, sender: Sender) => Promise<Figures>): Promise<Figures> {
    const fleet = new Fleet(plan)
    const sender = new Sender(seed, fleet)
    try {
      await fleet.start()
      return await measure(fleet, sender)
    } finally {
      await sender.dispose()
      await fleet.dispose()
    }
  }
}
