import { aggregateSummaries, hashText, highestRanked, AGGREGATE_REPORT_PERIOD_MS, acceptsNewWork, VALUE_LIFETIME_MS, ValueScope } from '@bluebellhill/domain'
import type { DispatchSummary, FailureDomain, Member, Millis, NodeId } from '@bluebellhill/domain'

import type { MembershipService } from './MembershipService.js'
import { decodeSummary, encodeSummaries } from './summaryCodec.js'

/** Models of one dispatcher, relayed to its whole failure domain. */
const MODELS_TOPIC = 'models'
/** Summaries of one dispatcher, sent to its subscribers. */
const SUMMARY_TOPIC = 'summary'
/** Summaries of one failure domain, relayed to the fleet. */
const AGGREGATE_TOPIC = 'aggregate'
/** More models than fit one value are split over numbered topics. */
const MODELS_PER_VALUE = 12

/** One dispatcher's state of a model. */
export interface DispatcherSummary {
  readonly dispatcher: Member
  readonly summary: DispatchSummary
  /** Reading of the monotonic clock when it was last received or renewed, in milliseconds. */
  readonly receivedAt: Millis
}

interface PublishedSummary {
  readonly publisher: Member
  readonly summary: DispatchSummary
  readonly receivedAt: Millis
}

/** All dispatchers of one failure domain together. */
export interface DomainSummary {
  readonly failureDomain: FailureDomain
  readonly summary: DispatchSummary
  /** Reading of the monotonic clock when it was last received or renewed, in milliseconds. */
  readonly receivedAt: Millis
}

/**
 * Spreads dispatch summaries. Each dispatcher's go to its subscribers in the failure domain, the names
 * of its models to all of it, and to the other failure domains an estimate of the sum, which one
 * member reports.
 */
export class SummaryExchange {
  private timer: NodeJS.Timeout | null = null
  private readonly published = new Map<string, number>()

  constructor (private readonly service: MembershipService) {}

  /** Starts to report the failure domain's sum whenever this node is the one to do so. */
  start (): void {
    this.timer = setInterval(() => this.report(), AGGREGATE_REPORT_PERIOD_MS)
  }

  /**
   * Publishes this dispatcher's state; what has not changed is not sent.
   *
   * @param summaries - one for each model that it has runners of
   */
  publish (summaries: readonly DispatchSummary[]): void {
    this.publishSplit(MODELS_TOPIC, summaries.map(({ model }) => model).sort(), encodeNames, ValueScope.FailureDomain)
    this.publishSplit(SUMMARY_TOPIC, summaries, encodeSummaries, ValueScope.Subscribers)
  }

  /**
   * @param model - model asked for
   * @returns dispatchers of the own failure domain that may get new work and whose state is known here
   */
  dispatchers (model: string): DispatcherSummary[] {
    return this.read(SUMMARY_TOPIC, model).map(({ publisher, ...state }) => ({ dispatcher: publisher, ...state }))
  }

  /** Names of the models that dispatchers of the own failure domain have runners of. */
  models (): string[] {
    const names = this.service.valuesUnder(`${MODELS_TOPIC}/`).flatMap((value) => namesOf(value.bytes))
    return [...new Set(names)].sort()
  }

  /**
   * @param model - model asked for
   * @returns every dispatcher of the own failure domain that may get new work and has runners of the model
   */
  holders (model: string): Member[] {
    const workers = new Map(this.service.workers(this.service.me().failureDomain).map((member) => [member.node, member]))
    return this.service.valuesUnder(`${MODELS_TOPIC}/`).flatMap((value) => {
      const member = workers.get(value.node)
      return member !== undefined && namesOf(value.bytes).includes(model) ? [member] : []
    })
  }

  /**
   * @param model - model asked for
   * @returns the other failure domains that reported runners of it
   */
  failureDomains (model: string): DomainSummary[] {
    const { failureDomain } = this.service.me()
    return this.read(AGGREGATE_TOPIC, model)
      .filter(({ publisher }) => publisher.failureDomain !== failureDomain && publisher.node === this.reporter(publisher.failureDomain))
      .map(({ publisher, ...state }) => ({ failureDomain: publisher.failureDomain, ...state }))
  }

  dispose (): void {
    if (this.timer !== null) clearInterval(this.timer)
    this.timer = null
  }

  /** Publishes the estimated sum over the own failure domain where this node is its reporter. */
  report (): void {
    const { node, failureDomain } = this.service.me()
    if (this.reporter(failureDomain) !== node) return
    const sums = this.models().flatMap((model) => this.estimate(model))
    this.publishSplit(AGGREGATE_TOPIC, sums, encodeSummaries, ValueScope.Fleet)
  }

  // The summaries known here are a sample: their sum is scaled to the number of dispatchers that have the model.
  private estimate (model: string): DispatchSummary[] {
    const known = this.dispatchers(model)
    if (known.length === 0) return []
    const scale = Math.max(1, this.holders(model).length / known.length)
    const sum = aggregateSummaries(known.map(({ summary }) => summary))
    return [{
      ...sum,
      runners: Math.round(sum.runners * scale),
      freeTokens: sum.freeTokens * scale,
      freeSlots: Math.round(sum.freeSlots * scale),
      prefillRate: sum.prefillRate * scale
    }]
  }

  private reporter (failureDomain: FailureDomain): NodeId | undefined {
    return highestRanked(AGGREGATE_TOPIC, this.service.workers(failureDomain), 1, hashText)[0]
  }

  private publishSplit <Item>(topic: string, items: readonly Item[], encode: (items: readonly Item[]) => Uint8Array, scope: ValueScope): void {
    const parts = Math.max(1, Math.ceil(items.length / MODELS_PER_VALUE), this.published.get(topic) ?? 0)
    this.published.set(topic, parts)
    for (let part = 0; part < parts; part += 1) {
      const contents = encode(items.slice(part * MODELS_PER_VALUE, (part + 1) * MODELS_PER_VALUE))
      this.service.publish(`${topic}/${part}`, contents, { scope })
    }
  }

  private read (topic: string, model: string): PublishedSummary[] {
    const members = new Map(this.service.members().map((member) => [member.node, member]))
    return this.service.valuesUnder(`${topic}/`, VALUE_LIFETIME_MS).flatMap((value) => {
      const publisher = members.get(value.node)
      const summary = decodeOrNull(model, value.bytes)
      return publisher === undefined || summary === null || !acceptsNewWork(publisher) ? [] : [{ publisher, summary, receivedAt: this.service.receivedAt(value) }]
    })
  }
}

// A value that cannot be read is as good as none.
const decodeOrNull = (model: string, bytes: Uint8Array): DispatchSummary | null => {
  try {
    return decodeSummary(model, bytes)
  } catch {
    return null
  }
}

const encodeNames = (names: readonly string[]): Uint8Array => Buffer.from(JSON.stringify(names))

const namesOf = (bytes: Uint8Array): string[] => {
  try {
    const names: unknown = JSON.parse(Buffer.from(bytes).toString())
    return Array.isArray(names) ? names.filter((name) => typeof name === 'string') : []
  } catch {
    return []
  }
}
