import { aggregateSummaries, hashText, ranked, REPORT_PERIOD, takesNewWork, ValueScope } from '@bluebellhill/domain'
import type { DispatchSummary, FailureDomain, GossipValue, Member, NodeId } from '@bluebellhill/domain'

import type { MembershipService } from './MembershipService.js'
import { decodeSummary, encodeSummary } from './summaryCodec.js'

const DISPATCHER_PREFIX = 'd/'
const AGGREGATE_PREFIX = 'a/'
const NO_RUNNERS = new Uint8Array(0)

/** One dispatcher's state of a model. */
export interface DispatcherSummary {
  readonly dispatcher: Member
  readonly summary: DispatchSummary
}

/** All dispatchers of one failure domain together. */
export interface DomainSummary {
  readonly failureDomain: FailureDomain
  readonly summary: DispatchSummary
}

/**
 * Spreads dispatch summaries: each dispatcher's to its own failure domain, and to the others their
 * sum, which one member of the failure domain reports.
 */
export class SummaryExchange {
  private timer: NodeJS.Timeout | null = null

  constructor (private readonly service: MembershipService) {}

  /** Starts to report the failure domain's sum whenever this node is the one to do so. */
  start (): void {
    this.timer = setInterval(() => this.report(), REPORT_PERIOD)
  }

  /**
   * Publishes this dispatcher's state; what has not changed is not sent.
   *
   * @param summaries - one for each model that it has runners of
   */
  publish (summaries: readonly DispatchSummary[]): void {
    this.publishAll(DISPATCHER_PREFIX, summaries, ValueScope.FailureDomain)
  }

  /**
   * @param model - model asked for
   * @returns the dispatchers of the own failure domain that may get new work
   */
  dispatchers (model: string): DispatcherSummary[] {
    return this.read(`${DISPATCHER_PREFIX}${model}`).map(({ publisher, summary }) => ({ dispatcher: publisher, summary }))
  }

  /**
   * @param model - model asked for
   * @returns the other failure domains that reported runners of it
   */
  failureDomains (model: string): DomainSummary[] {
    const { failureDomain } = this.service.me()
    return this.read(`${AGGREGATE_PREFIX}${model}`)
      .filter(({ publisher }) => publisher.failureDomain !== failureDomain && publisher.node === this.reporter(publisher.failureDomain))
      .map(({ publisher, summary }) => ({ failureDomain: publisher.failureDomain, summary }))
  }

  dispose (): void {
    if (this.timer !== null) clearInterval(this.timer)
    this.timer = null
  }

  /** Publishes the sum over the own failure domain where this node is its reporter. */
  report (): void {
    const { node, failureDomain } = this.service.me()
    const isReporter = this.reporter(failureDomain) === node
    const topics = new Set(this.service.valuesUnder(DISPATCHER_PREFIX).map(({ topic }) => topic))
    const sums: DispatchSummary[] = []
    for (const topic of isReporter ? topics : []) {
      const summaries = this.read(topic).map(({ summary }) => summary)
      if (summaries.length > 0) sums.push(aggregateSummaries(summaries))
    }
    this.publishAll(AGGREGATE_PREFIX, sums, ValueScope.Fleet)
  }

  private reporter (failureDomain: FailureDomain): NodeId | undefined {
    return ranked(AGGREGATE_PREFIX, this.service.workers(failureDomain), 1, hashText)[0]
  }

  private publishAll (prefix: string, summaries: readonly DispatchSummary[], scope: ValueScope): void {
    const { node } = this.service.me()
    const served = new Set(summaries.map(({ model }) => `${prefix}${model}`))
    for (const summary of summaries) this.service.publish(`${prefix}${summary.model}`, encodeSummary(summary), { scope })
    for (const value of this.service.valuesUnder(prefix)) {
      if (value.node === node && !served.has(value.topic)) this.service.publish(value.topic, NO_RUNNERS, { scope })
    }
  }

  private read (topic: string): Array<{ publisher: Member, summary: DispatchSummary }> {
    const members = new Map(this.service.members().map((member) => [member.node, member]))
    return this.service.values(topic).flatMap((value) => {
      const publisher = members.get(value.node)
      if (publisher === undefined || !takesNewWork(publisher)) return []
      return this.decode(value).map((summary) => ({ publisher, summary }))
    })
  }

  // A value that cannot be read is as good as none.
  private decode (value: GossipValue): DispatchSummary[] {
    if (value.bytes.length === 0) return []
    try {
      return [decodeSummary(value.topic.slice(value.topic.indexOf('/') + 1), value.bytes)]
    } catch {
      return []
    }
  }
}
