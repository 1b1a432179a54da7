/** Exchanges summaries of the dispatchers' free capacity over gossip. */
import { aggregateSummaries, hashText, highestRanked, AGGREGATE_REPORT_PERIOD_MS, acceptsNewWork, VALUE_LIFETIME_MS, ValueScope } from '@bluebellhill/domain'
import type { DispatchSummary, FailureDomain, Member, Millis, NodeId } from '@bluebellhill/domain'

import type { MembershipService } from './MembershipService.js'
import { decodeSummary, encodeSummaries } from './summaryCodec.js'

/** Topic of the names of one dispatcher's models, which every node of its failure domain receives. */
const MODELS_TOPIC = 'models'
/** Topic of the summaries of one dispatcher, which only its subscribers receive. */
const SUMMARY_TOPIC = 'summary'
/** Topic of the aggregate summaries of one failure domain, which every node of the fleet receives. */
const AGGREGATE_TOPIC = 'aggregate'
/** Number of models in one gossip value; further models go into values with numbered topics. */
const MODELS_PER_VALUE = 12

/** Free capacity of one dispatcher for one model. */
export interface DispatcherSummary {
  readonly dispatcher: Member
  readonly summary: DispatchSummary
  /** Time of the monotonic clock at which the summary was last received or renewed. */
  readonly receivedAt: Millis
}

interface PublishedSummary {
  readonly publisher: Member
  readonly summary: DispatchSummary
  readonly receivedAt: Millis
}

/** Estimated free capacity of all dispatchers of one failure domain for one model. */
export interface DomainSummary {
  readonly failureDomain: FailureDomain
  readonly summary: DispatchSummary
  /** Time of the monotonic clock at which the summary was last received or renewed. */
  readonly receivedAt: Millis
}

/**
 * Publishes and reads dispatch summaries. The subscribers of a dispatcher in its failure domain receive its summaries.
 * All nodes of the failure domain receive the names of its models. The other failure domains receive an estimate of the
 * sum over all dispatchers, which one member of the failure domain publishes.
 */
export class SummaryExchange {
  private timer: NodeJS.Timeout | null = null
  private readonly publishedValueCounts = new Map<string, number>()

  constructor (private readonly membership: MembershipService) {}

  /** Starts to publish the failure domain's aggregates periodically, at the times when this node is the reporter. */
  start (): void {
    this.timer = setInterval(() => this.reportAggregate(), AGGREGATE_REPORT_PERIOD_MS)
  }

  /**
   * Publishes this dispatcher's summaries. Values that have not changed are not sent again.
   *
   * @param summaries - one for each model of which this dispatcher has runners
   */
  publish (summaries: readonly DispatchSummary[]): void {
    this.publishInValues(MODELS_TOPIC, summaries.map(({ model }) => model).sort(), encodeNames, ValueScope.FailureDomain)
    this.publishInValues(SUMMARY_TOPIC, summaries, encodeSummaries, ValueScope.Subscribers)
  }

  /**
   * @param model - name of the model
   * @returns summaries of those dispatchers of the own failure domain that may receive new work and to which this node subscribes
   */
  dispatcherSummaries (model: string): DispatcherSummary[] {
    return this.readSummaries(SUMMARY_TOPIC, model).map(({ publisher, ...state }) => ({ dispatcher: publisher, ...state }))
  }

  /** Names of the models of which dispatchers in the own failure domain have runners. */
  modelNames (): string[] {
    const names = this.membership.valuesUnder(`${MODELS_TOPIC}/`).flatMap((value) => decodeNames(value.bytes))
    return [...new Set(names)].sort()
  }

  /**
   * @param model - name of the model
   * @returns every dispatcher of the own failure domain that may receive new work and has runners of the model
   */
  dispatchersWithModel (model: string): Member[] {
    const acceptingMembers = new Map(this.membership.membersAcceptingWork(this.membership.me().failureDomain).map((member) => [member.node, member]))
    return this.membership.valuesUnder(`${MODELS_TOPIC}/`).flatMap((value) => {
      const member = acceptingMembers.get(value.node)
      return member !== undefined && decodeNames(value.bytes).includes(model) ? [member] : []
    })
  }

  /**
   * @param model - name of the model
   * @returns aggregate summaries of the other failure domains that have runners of the model
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

  /** Publishes the aggregates of the own failure domain if this node is its reporter. */
  reportAggregate (): void {
    const { node, failureDomain } = this.membership.me()
    if (this.reporterOf(failureDomain) !== node) return
    const aggregates = this.modelNames().flatMap((model) => this.estimateAggregate(model))
    this.publishInValues(AGGREGATE_TOPIC, aggregates, encodeSummaries, ValueScope.Fleet)
  }

  // This node has received the summaries of only some dispatchers. Their sum is scaled to the number of dispatchers with the model.
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

  /** The member of a failure domain that publishes its aggregates. */
  private reporterOf (failureDomain: FailureDomain): NodeId | undefined {
    return highestRanked(AGGREGATE_TOPIC, this.membership.membersAcceptingWork(failureDomain), 1, hashText)[0]
  }

  /** Publishes at least as many values as before, so that empty ones replace those that are no longer needed. */
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

// Returns null for an invalid value, so that it is ignored like a missing one.
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
