/** What the path through a node adds to calling an engine directly. */
import { DEFAULT_FLEET_PLAN, Fleet } from '../fleet/index.js'
import type { FleetPlan } from '../fleet/index.js'
import { uniformReal } from '../load/random.js'
import { Pairs } from './Pairs.js'
import type { LevelFigures } from './Pairs.js'
import { PROMPT_TOKENS, Sender } from './Sender.js'
import { ProcessorShare } from './processorTime.js'
import { atLeast, atMost, Bench } from './types.js'
import type { BenchOptions, BenchReport } from './types.js'

/** Streams at once on each side, and tokens of an answer; short answers give the lone stream enough pairs. */
const LEVELS = [
  { streams: 1, answerTokens: 4 },
  { streams: 32, answerTokens: 32 },
  { streams: 256, answerTokens: 64 }
] as const
type Level = typeof LEVELS[number]

const WARM_UP_LEVEL = LEVELS[1]
const BOUND_LEVEL = 32

const PAIRS_MS = 12_000
const WARM_UP_MS = 3_000

const STREAMS = 320
const STREAM_TOKENS = 256
const STREAMS_MS = 10_000

/** Workers begin within this time, so that they do not move in step. */
const SPREAD_MS = 500

const BOUND_ADDED_MS = 5
const BOUND_TOKENS_PER_SECOND = 9_500
const BOUND_CORES = 1

/**
 * Two nodes of one failure domain, so that half of the grants come from the other node. The engines give a stream 50
 * tokens a second; much faster ones would measure the node's saturation in place of the path.
 */
const PLAN: FleetPlan = {
  ...DEFAULT_FLEET_PLAN,
  failureDomains: ['bayangol'],
  nodes: 2,
  engines: 4,
  plains: 0,
  logLevel: 'error',
  engineArgs: { slots: 512, 'chunk-tokens': 16_384, 'step-ms': 20, 'new-token-ms': 0.0005, 'event-drop-rate': 0 }
}

/** Engines of 500 tokens a second and stream, which leave the node as the bottleneck. */
const FAST_PLAN: FleetPlan = { ...PLAN, engineArgs: { ...PLAN.engineArgs, 'step-ms': 2 } }
const SATURATING_STREAMS = 64

interface StreamFigures {
  readonly requestsPerSecond: number
  readonly streams: number
  readonly tokensPerSecond: number
  readonly nodeCores: number
  readonly loadToolCores: number
  readonly unanswered: number
}

const sleep = async (ms: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, ms))

/** Workers send calls through the node and straight to an engine in turn, half of them at a time on each side. */
export class OverheadBench extends Bench {
  override readonly name = 'overhead'
  override readonly description = 'time that the path through a node adds, and streamed tokens a second through one node'

  override async run ({ seed, progress }: BenchOptions): Promise<BenchReport> {
    const { levels, streaming } = await this.withFleet(PLAN, seed, async (fleet, sender) => ({
      levels: await this.measureLevels(fleet, sender, progress),
      streaming: await this.measureStreaming(fleet, sender, STREAMS, progress)
    }))
    const saturated = await this.withFleet(FAST_PLAN, seed, async (fleet, sender) =>
      await this.measureStreaming(fleet, sender, SATURATING_STREAMS, progress))
    const bounded = levels.find(({ streams }) => streams === BOUND_LEVEL)!
    return {
      bench: this.name,
      seed,
      figures: { promptTokens: PROMPT_TOKENS, levels, streaming, saturated },
      bounds: [
        atMost(`p99 added to the first token at ${BOUND_LEVEL} streams, ms`, bounded.addedP99Ms, BOUND_ADDED_MS),
        atLeast('streamed tokens a second through one node', streaming.tokensPerSecond, BOUND_TOKENS_PER_SECOND),
        atMost('cores of the node while streaming', streaming.nodeCores, BOUND_CORES)
      ]
    }
  }

  private async measureLevels (fleet: Fleet, sender: Sender, progress: (line: string) => void): Promise<LevelFigures[]> {
    const levels: LevelFigures[] = []
    await this.pairLevel(fleet, sender, WARM_UP_LEVEL, WARM_UP_MS)
    for (const level of LEVELS) {
      const figures = (await this.pairLevel(fleet, sender, level, PAIRS_MS)).figures(level.streams)
      progress(`${level.streams} streams: first token ${figures.directMs.p50} ms direct, ${figures.throughNodeMs.p50} ms through the node (p50); added p99 ${figures.addedP99Ms} ms; ${figures.pairs} pairs`)
      levels.push(figures)
    }
    return levels
  }

  private async pairLevel (fleet: Fleet, sender: Sender, { streams, answerTokens }: Level, forMs: number): Promise<Pairs> {
    const pairs = new Pairs()
    const engines = fleet.engines.map(({ process }) => process.address('address'))
    const node = fleet.callerAddresses[0]!
    const end = performance.now() + forMs
    const work = async (worker: number): Promise<void> => {
      await sleep(uniformReal(sender.random) * SPREAD_MS)
      const engine = engines[worker % engines.length]!
      if (worker % 2 === 1) await sender.send(engine, answerTokens)
      while (performance.now() < end) {
        const throughNode = await sender.send(node, answerTokens)
        pairs.add(await sender.send(engine, answerTokens), throughNode)
      }
    }
    const workers = streams === 1 ? 1 : 2 * streams
    await Promise.all(Array.from({ length: workers }, async (_, worker) => await work(worker)))
    return pairs
  }

  private async measureStreaming (fleet: Fleet, sender: Sender, streams: number, progress: (line: string) => void): Promise<StreamFigures> {
    const node = fleet.nodes[0]!.process
    await this.stream(sender, node.address('caller'), streams, WARM_UP_MS)
    const [nodeShare, ownShare] = [new ProcessorShare(node.pid), new ProcessorShare(process.pid)]
    const startedAt = performance.now()
    const { answered, unanswered } = await this.stream(sender, node.address('caller'), streams, STREAMS_MS)
    const seconds = (performance.now() - startedAt) / 1_000
    const figures = {
      streams,
      requestsPerSecond: Math.round(answered / seconds),
      tokensPerSecond: Math.round(answered * STREAM_TOKENS / seconds),
      nodeCores: nodeShare.cores,
      loadToolCores: ownShare.cores,
      unanswered
    }
    progress(`${streams} streams through one node: ${figures.tokensPerSecond} tokens/s, ${figures.nodeCores} of a core`)
    return figures
  }

  private async stream (sender: Sender, node: string, streams: number, forMs: number): Promise<{ answered: number, unanswered: number }> {
    const total = { answered: 0, unanswered: 0 }
    const end = performance.now() + forMs
    const work = async (): Promise<void> => {
      await sleep(uniformReal(sender.random) * SPREAD_MS)
      while (performance.now() < end) {
        const { type } = await sender.send(node, STREAM_TOKENS)
        total[type === 'answered' ? 'answered' : 'unanswered']++
      }
    }
    await Promise.all(Array.from({ length: streams }, work))
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
