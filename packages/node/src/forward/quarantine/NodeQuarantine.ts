/** Keeps this node's copy of the evidence on what crashes backend servers, and judges requests by it. */
import { isRequest, Quarantine, QuarantineStatus, sharedParts } from '@bluebellhill/domain'
import type { BackendServer, CrashReport, Millis, NodeId, Verdict, PromptPart, QuarantineCounts, QuarantineFacts, ServerSurvival, Suspect } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import { ServerWatch } from './ServerWatch.js'
import type { WatchedAttempt } from './ServerWatch.js'
import { FactKind } from './FactQueue.js'
import type { Fact } from './FactQueue.js'
import { QuarantineLog } from './QuarantineLog.js'

export interface NodeQuarantineOptions {
  readonly node: NodeId
  readonly log: Log
  readonly clock: () => Millis
  /** Clock that stands still while this process is held up. */
  readonly runningClock: () => Millis
  /** Returns whether a backend server has announced that it will end. */
  readonly isLeaving: (server: BackendServer) => boolean
}

/** Stands for the last part of a prompt, by which no request is judged. */
const OWN_PART: PromptPart = ''

/** Stands in a sound answer for a request without shared parts, of which only the service is told. */
const SERVICE_ONLY: Suspect = ''

/** Verdict on a request that must not be sent. */
export type QuarantineVerdict = Extract<Verdict, { readonly status: typeof QuarantineStatus.Quarantined }>

/** Evidence of this node and of the others. */
export class NodeQuarantine {
  /** Attempts of this node, whose ends are the evidence. */
  readonly serverWatch: ServerWatch
  readonly #options: NodeQuarantineOptions
  readonly #aggregate: Quarantine
  readonly #log: QuarantineLog
  readonly #factListeners = new Set<(fact: Fact) => void>()
  readonly #quarantineListeners = new Set<() => void>()

  /** @param options - this node, its log and clock */
  constructor (options: NodeQuarantineOptions) {
    const { node, clock, runningClock, isLeaving } = options
    this.#options = options
    this.#aggregate = new Quarantine()
    this.#log = new QuarantineLog(options)
    this.serverWatch = new ServerWatch({
      node,
      clock,
      runningClock,
      isLeaving,
      onCrash: (report, requests) => this.#crashed(report, requests),
      onSurvival: (survival) => this.#survived(survival),
      onSound: (attempt) => this.#soundAnswer(attempt),
      suspectsOf: (prompts, requests) => this.#aggregate.suspectsOf(prompts, requests)
    })
  }

  /**
   * @param parts - all parts of a request's prompt
   * @param identity - returns the suspect that stands for the request; called only while requests are suspected
   * @returns whether, and how, the request may be sent
   */
  verdict (parts: readonly PromptPart[], identity: (() => Suspect) | null = null): Verdict {
    const request = this.#aggregate.hasSuspectedRequests ? identity?.() ?? null : null
    return this.#aggregate.verdict(parts, this.#options.clock(), request)
  }

  /** @returns the facts that other nodes need */
  facts (): QuarantineFacts {
    return this.#aggregate.facts(this.#options.clock())
  }

  /** @returns counts for metrics */
  counts (): QuarantineCounts {
    return this.#aggregate.counts(this.#options.clock())
  }

  /** Adds a listener for facts that this node has found out itself; other nodes should know them at once. */
  onOwnFact (listener: (fact: Fact) => void): void {
    this.#factListeners.add(listener)
  }

  /** Adds a listener that is called when a prompt part or a request gets quarantined. Returns a function that removes it. */
  onQuarantine (listener: () => void): () => void {
    this.#quarantineListeners.add(listener)
    return () => this.#quarantineListeners.delete(listener)
  }

  /**
   * Records facts that another node has sent in one message.
   *
   * @param facts - the facts
   * @returns whether other nodes should know of some of them
   */
  received (facts: QuarantineFacts): boolean {
    if (!this.#aggregate.merge(facts)) return false
    // Each node with requests on a server reports its crash, which is logged once.
    const crashes = facts.crashes.filter((crash) => this.serverWatch.crashHeard(crash))
    this.#log.heard({ ...facts, crashes })
    this.#update()
    return true
  }

  /**
   * @param suspects - a quarantined request, or the quarantined parts of one
   * @returns whether one request may be sent now to find out if they are sound again
   */
  isTrialDue (suspects: readonly Suspect[]): boolean {
    const request = suspects.find(isRequest)
    const parts = suspects.filter((suspect) => !isRequest(suspect))
    const verdict = this.verdict([...parts, OWN_PART], request === undefined ? null : () => request)
    return verdict.status === QuarantineStatus.Quarantined && verdict.isTrialDue
  }

  /**
   * Records a trial of what is quarantined, and tells the other nodes of it.
   *
   * @param parts - the request if it is quarantined, and the quarantined parts of its prompt
   * @param request - id of the request
   */
  grantTrial (parts: readonly Suspect[], request: string): void {
    const { node, clock } = this.#options
    this.#log.trialGranted(parts, request)
    for (const part of parts) this.#share({ kind: FactKind.Trial, fact: { part, at: clock(), grantedBy: node } })
  }

  /**
   * Records that a quarantined request came again, so that it is remembered for as long as it comes.
   *
   * @param verdict - the verdict because of which it was refused
   */
  refused ({ parts }: QuarantineVerdict): void {
    const at = this.#options.clock()
    for (const part of parts.filter(isRequest)) this.#share({ kind: FactKind.Recurrence, fact: { part, at } })
  }

  #crashed (report: CrashReport, requests: readonly string[]): void {
    this.#log.crashSuspected(report, requests)
    this.#share({ kind: FactKind.Crash, fact: report })
    this.#shareSounds(report.parts)
    this.#update()
  }

  #survived (survival: ServerSurvival): void {
    this.#log.survived(survival)
    this.#share({ kind: FactKind.Survival, fact: survival })
    this.#update()
  }

  /** Only a request that is in a crash report is remembered as sound: nearly each request comes once. */
  #soundAnswer ({ parts, identity, server: { service } }: WatchedAttempt): void {
    const at = this.#options.clock()
    const shared = sharedParts(parts)
    const suspects = this.#aggregate.hasSuspectedRequests ? [identity()].filter((request) => this.#aggregate.isInCrashReport(request)) : []
    for (const part of [...shared, ...suspects]) this.#share({ kind: FactKind.Sound, fact: { part, at, service } })
    if (shared.length === 0) this.#share({ kind: FactKind.Sound, fact: { part: SERVICE_ONLY, at, service } })
    this.#update()
  }

  /** Whether a part was sound before decides how much evidence it takes, and the other nodes may not know it. */
  #shareSounds (parts: readonly PromptPart[]): void {
    const suspected = new Set(parts)
    const sounds = this.facts().sounds.filter(({ part }) => suspected.has(part))
    for (const fact of sounds) for (const listener of this.#factListeners) listener({ kind: FactKind.Sound, fact })
  }

  #share (fact: Fact): void {
    if (this.#record(fact)) for (const listener of this.#factListeners) listener(fact)
  }

  #record ({ kind, fact }: Fact): boolean {
    switch (kind) {
      case FactKind.Crash:
        return this.#aggregate.recordCrash(fact)
      case FactKind.Survival:
        return this.#aggregate.recordSurvival(fact)
      case FactKind.Trial:
        return this.#aggregate.recordTrial(fact)
      case FactKind.Sound:
        return this.#aggregate.recordSound(fact)
      case FactKind.Recurrence:
        return this.#aggregate.recordRecurrence(fact)
    }
  }

  /** Logs which parts have got into the quarantine or out of it; requests in progress are judged again if one has got into it. */
  #update (): void {
    const hasNew = this.#log.quarantineChanged(this.#aggregate.quarantinedParts(this.#options.clock()))
    if (hasNew) for (const listener of [...this.#quarantineListeners]) listener()
  }
}
