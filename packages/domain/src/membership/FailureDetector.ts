import type { Millis, NodeId } from '../types.js'
import { EXTRA_PROBES_PER_SECOND, RING_SUCCESSORS } from './constants.js'
import { isInOwnDomain, reachableOthers } from './context.js'
import type { MembershipContext } from './context.js'
import { LocalHealth } from './LocalHealth.js'
import { Probes } from './Probes.js'
import type { Probe } from './Probes.js'
import { ProbeSchedule, sample } from './ProbeSchedule.js'
import { MemberState } from './types.js'
import type { Member } from './types.js'

/** SWIM failure detector: probes members directly and through relays, and declares those that do not answer suspect, then unreachable. */
export class FailureDetector {
  private readonly probes = new Probes()
  private readonly schedule: ProbeSchedule
  private readonly health: LocalHealth
  private readonly suspicionDeadlines = new Map<NodeId, Millis>()
  private readonly extraProbeTargets: NodeId[] = []
  private successors: readonly NodeId[] = []
  private remainingExtraProbes = EXTRA_PROBES_PER_SECOND

  constructor (private readonly context: MembershipContext) {
    this.schedule = new ProbeSchedule(context.me().node, context.rng)
    this.health = new LocalHealth(context.timings.maxLocalHealth)
  }

  /** Local health score; 0 while nothing indicates that this node itself is slow or disconnected. */
  get localHealth (): number {
    return this.health.value
  }

  /** Worsens the local health score, because another member suspected this node. */
  suspectedByOthers (): void {
    this.health.worsen()
  }

  /**
   * Discards the pending probes after a pause of this process, because their timeouts say nothing about the other members.
   * Suspects get a new deadline and are probed again.
   */
  resetAfterPause (now: Millis): void {
    this.probes.clear()
    this.extraProbeTargets.length = 0
    this.health.setWorst()
    for (const node of this.suspicionDeadlines.keys()) {
      this.suspicionDeadlines.set(node, this.suspicionDeadline(now))
      this.probe(node, now)
    }
  }

  /** Handles expired probes and suspicions, and sends extra probes. */
  tick (now: Millis): void {
    this.expireRelayedProbes(now)
    this.expireProbes(now)
    this.expireSuspicions(now)
    this.probeExtra(now)
  }

  /** Starts the probes of a new period: of the ring successors and of the next member of the round. */
  probePeriodically (now: Millis): void {
    const { table } = this.context
    this.remainingExtraProbes = EXTRA_PROBES_PER_SECOND
    this.probeSuccessors(now)
    const next = this.schedule.nextInRound(table.reachable())
    if (next !== null) this.probe(next.node, now)
  }

  /** Probes a member at once unless a probe of it is pending. */
  probe (node: NodeId, now: Millis): void {
    const member = this.context.table.get(node)
    if (member === undefined || node === this.context.me().node || this.probes.isProbing(node)) return
    const probe = this.probes.start(node, now)
    this.context.send(member.gossipAddress, { type: 'ping', sequence: probe.sequence, target: node }, member)
  }

  /** Probes `target` on behalf of another member. */
  relayProbe (from: string, sequence: number, target: NodeId, now: Millis): void {
    const member = this.context.table.get(target)
    if (member === undefined) return
    const relayed = this.probes.startRelayed(from, sequence, now)
    this.context.send(member.gossipAddress, { type: 'ping', sequence: relayed, target }, member)
  }

  acknowledge (sequence: number): void {
    const relayed = this.probes.finishRelayed(sequence)
    if (relayed !== undefined) return this.context.send(relayed.requester, { type: 'ack', sequence: relayed.requesterSequence })
    if (this.probes.finish(sequence) !== undefined) this.health.improve()
  }

  /** Records that a relay answered, but received no answer from the target. */
  negativeAcknowledge (sequence: number): void {
    const probe = this.probes.get(sequence)
    if (probe !== undefined) probe.nacks += 1
  }

  /** Sets the deadline by which a suspect must refute the suspicion; removes it for a member that is not suspect. */
  trackSuspicion (member: Member, now: Millis): void {
    if (member.state !== MemberState.Suspect) {
      this.suspicionDeadlines.delete(member.node)
      return
    }
    this.suspicionDeadlines.set(member.node, this.suspicionDeadline(now))
    if (!isInOwnDomain(this.context, member)) this.probeDomainOf(member)
    else if (this.successors.includes(member.node)) this.probeSuccessors(now)
  }

  // Skips suspects in the ring: a suspect may have stopped probing its own successors, so that they have fewer probers.
  private probeSuccessors (now: Millis): void {
    const { table, me } = this.context
    const alive = table.inDomain(me().failureDomain).filter((member) => member.state === MemberState.Alive)
    this.successors = this.schedule.successors(alive, RING_SUCCESSORS).map(({ node }) => node)
    for (const node of this.successors) this.probe(node, now)
  }

  private suspicionDeadline (now: Millis): Millis {
    return now + this.health.scaleTimeout(this.context.timings.suspicionTimeout)
  }

  // A suspect in another failure domain may be the first sign of a network partition, so other members of that domain are probed early.
  private probeDomainOf (member: Member): void {
    const candidates = this.context.table.inDomain(member.failureDomain).filter((other) => other.state === MemberState.Alive)
    for (const other of sample(this.context.rng, candidates, 2)) {
      if (this.extraProbeTargets.length < 2 * EXTRA_PROBES_PER_SECOND) this.extraProbeTargets.push(other.node)
    }
  }

  private probeExtra (now: Millis): void {
    while (this.remainingExtraProbes > 0 && this.extraProbeTargets.length > 0) {
      this.remainingExtraProbes -= 1
      this.probe(this.extraProbeTargets.shift() as NodeId, now)
    }
  }

  private expireRelayedProbes (now: Millis): void {
    for (const relayed of this.probes.removeRelayedUntil(now - this.context.timings.relayTimeout)) {
      this.context.send(relayed.requester, { type: 'nack', sequence: relayed.requesterSequence })
    }
  }

  private expireProbes (now: Millis): void {
    const { ackTimeout, indirectTimeout } = this.context.timings
    for (const probe of this.probes.all()) {
      const elapsed = now - (probe.indirectAt ?? probe.sentAt)
      if (probe.indirectAt === null && elapsed >= this.health.scaleTimeout(ackTimeout)) this.requestIndirectProbes(probe, now)
      else if (probe.indirectAt !== null && elapsed >= this.health.scaleTimeout(indirectTimeout)) this.failProbe(probe, now)
    }
  }

  private requestIndirectProbes (probe: Probe, now: Millis): void {
    const relays = this.chooseRelays(probe.target)
    probe.indirectAt = now
    probe.relayCount = relays.length
    for (const relay of relays) {
      this.context.send(relay.gossipAddress, { type: 'ping_request', sequence: probe.sequence, target: probe.target }, relay)
    }
  }

  // One relay is in this node's own failure domain: its answer shows that this node itself is connected.
  private chooseRelays (target: NodeId): Member[] {
    const { rng, timings } = this.context
    const candidates = reachableOthers(this.context).filter((member) => member.node !== target && member.state === MemberState.Alive)
    const domainPeers = candidates.filter((member) => isInOwnDomain(this.context, member))
    const domainRelay = sample(rng, domainPeers, Math.min(1, timings.indirectProbes))
    const rest = candidates.filter((member) => !domainRelay.includes(member))
    return [...domainRelay, ...sample(rng, rest, timings.indirectProbes - domainRelay.length)]
  }

  private failProbe (probe: Probe, now: Millis): void {
    this.probes.finish(probe.sequence)
    if (probe.relayCount > 0 && probe.nacks === 0) this.health.worsen()
    const member = this.context.table.get(probe.target)
    if (member?.state !== MemberState.Alive) return
    this.context.applyClaim({ ...member, state: MemberState.Suspect }, 'probes were not answered', now)
  }

  private expireSuspicions (now: Millis): void {
    for (const [node, deadline] of [...this.suspicionDeadlines]) {
      if (now < deadline) continue
      this.suspicionDeadlines.delete(node)
      const member = this.context.table.get(node)
      if (member?.state !== MemberState.Suspect) continue
      this.context.applyClaim({ ...member, state: MemberState.Unreachable }, 'suspicion was not refuted', now)
    }
  }
}
