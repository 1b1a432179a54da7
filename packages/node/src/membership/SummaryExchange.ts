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
  private readonly publishedValueCounts = new Map<string, number>()

  constructor (private readonly membership: MembershipService) {}

  /** Starts to report the failure domain's sum whenever this node is the one to do so. */
  start (): void {
    this.timer = setInterval(() => this.reportAggregate(), AGGREGATE_REPORT_PERIOD_MS)
  }

  /**
   * Publishes this dispatcher's state; what has not changed is not sent.
   *
   * @param summaries - one for each model that it has runners of
   */
  publish (summaries: readonly DispatchSummary[]): void {
    this.publishInValues(MODELS_TOPIC, summaries.map(({ model }) => model).sort(), encodeNames, ValueScope.FailureDomain)
    this.publishInValues(SUMMARY_TOPIC, summaries, encodeSummaries, ValueScope.Subscribers)
  }

  /**
   * @param model - model asked for
   * @returns dispatchers of the own failure domain that may get new work and whose state is known here
   */
  dispatcherSummaries (model: string): DispatcherSummary[] {
    return this.readSummaries(SUMMARY_TOPIC, model).map(({ publisher, ...state }) => ({ dispatcher: publisher, ...state }))
  }

  /** Names of the models that dispatchers of the own failure domain have runners of. */
  modelNames (): string[] {
    const names = this.membership.valuesUnder(`${MODELS_TOPIC}/`).flatMap((value) => decodeNames(value.bytes))
    return [...new Set(names)].sort()
  }

  /**
   * @param model - model asked for
   * @returns every dispatcher of the own failure domain that may get new work and has runners of the model
   */
  dispatchersWithModel (model: string): Member[] {
    const acceptingMembers = new Map(this.membership.membersAcceptingWork(this.membership.me().failureDomain).map((member) => [member.node, member]))
    return this.membership.valuesUnder(`${MODELS_TOPIC}/`).flatMap((value) => {
      const member = acceptingMembers.get(value.node)
      return member !== undefined && decodeNames(value.bytes).includes(model) ? [member] : []
    })
  }

  /**
   * @param model - model asked for
   * @returns the other failure domains that reported runners of it
   */
  domainSummaries (model: string): DomainSummary[] {
    const { failureDomain } = this.membership.me()
    return this.readSummaries(AGGREGATE_TOPIC, model)
      .filter(({ publisher }) => publisher.failureDomain !== failureDomain && publisher.node === this.reporterOf(publisher.failureDomain))
      .map(({ publisher, ...state }) => ({ failureDomain: publisher.failureDomain, ...state }))
  }

  dispose (): void {
    if (this.timer !== null) clearInterval(this.timer)
    this.timer = null
  }

  /** Publishes the estimated sum over the own failure domain where this node is its reporter. */
  reportAggregate (): void {
    const { node, failureDomain } = this.membership.me()
    if (this.reporterOf(failureDomain) !== node) return
    const aggregates = this.modelNames().flatMap((model) => this.estimateAggregate(model))
    this.publishInValues(AGGREGATE_TOPIC, aggregates, encodeSummaries, ValueScope.Fleet)
  }

  // The summaries known here are a sample: their sum is scaled to the number of dispatchers that have the model.
  private estimateAggregate (model: string): DispatchSummary[] {
    const samples = this.dispatcherSummaries(model)
    if (samples.length === 0) return []
    const factor = Math.max(1, this.dispatchersWithModel(model).length / samples.length)
    const sum = aggregateSummaries(samples.map(({ summary }) => summary))
    return [{
      ...sum,
      runners: Math.round(sum.runners * factor),
      freeTokens: sum.freeTokens * factor,
      freeSlots: Math.round(sum.freeSlots * factor),
      prefillRate: sum.prefillRate * factor
    }]
  }

  private reporterOf (failureDomain: FailureDomain): NodeId | undefined {
    return highestRanked(AGGREGATE_TOPIC, this.membership.membersAcceptingWork(failureDomain), 1, hashText)[0]
  }

  private publishInValues <Item>(topic: string, items: readonly Item[], encode: (items: readonly Item[]) => Uint8Array, scope: ValueScope): void {
    const valueCount = Math.max(1, Math.ceil(items.length / MODELS_PER_VALUE), this.publishedValueCounts.get(topic) ?? 0)
    this.publishedValueCounts.set(topic, valueCount)
    for (let index = 0; index < valueCount; index += 1) {
      const contents = encode(items.slice(index * MODELS_PER_VALUE, (index + 1) * MODELS_PER_VALUE))
      this.membership.publish(`${topic}/${index}`, contents, { scope })
    }
  }

  private readSummaries (topic: string, model: string): PublishedSummary[] {
    const members = new Map(this.membership.members().map((member) => [member.node, member]))
    return this.membership.valuesUnder(`${topic}/`, VALUE_LIFETIME_MS).flatMap((value) => {
      const publisher = members.get(value.node)
      const summary = decodeOrNull(model, value.bytes)
      return publisher === undefined || summary === null || !acceptsNewWork(publisher) ? [] : [{ publisher, summary, receivedAt: this.membership.receivedAt(value) }]
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

const decodeNames = (bytes: Uint8Array): string[] => {
  try {
    const names: unknown = JSON.parse(Buffer.from(bytes).toString())
    return Array.isArray(names) ? names.filter((name) => typeof name === 'string') : []
  } catch {
    return []
  }
}
