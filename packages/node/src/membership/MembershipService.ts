/** Runs the membership protocol of one node on a UDP socket and a timer. */
import { randomInt } from 'node:crypto'

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { Membership, acceptsNewWork, TICK_PERIOD_MS, ValueScope } from '@bluebellhill/domain'
import type { FailureDomain, GossipValue, ListedVm, Member, MembershipEffect, MembershipEvent, MembershipTimings, Millis, NodeId, ValueDistribution } from '@bluebellhill/domain'

import { GossipSocket } from './GossipSocket.js'
import type { DropRule, SocketCounters } from './GossipSocket.js'

export interface MembershipServiceOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** `ip:port` of this node's gRPC server. */
  readonly peerAddress: string
  /** IP address and port of the gossip socket; port 0 selects a free port. */
  readonly host: string
  readonly port: number
  /** `ip:port` at which other nodes reach the gossip socket; the bound address by default. */
  readonly advertisedAddress?: string
  /** Gossip addresses of the nodes through which this node joins the fleet. */
  readonly seeds: readonly string[]
  /** Shared secrets: the first signs sent datagrams; a received datagram may be signed with any of them. */
  readonly secrets: readonly string[]
  /** Monotonic clock in milliseconds. */
  readonly clock: () => Millis
  /** Wall time at which this process started, in milliseconds since the epoch. */
  readonly startedAt: number
  /** Seed of the random number generator; random by default. */
  readonly seed?: number
  readonly timings?: Partial<MembershipTimings>
}

/** An effect that listeners receive; the service carries out `send` effects itself. */
export type MembershipChange = Exclude<MembershipEffect, { readonly type: 'send' }>
export type MembershipListener = (change: MembershipChange) => void

/** Receivers of a published value and whether it is kept; by default the failure domain, and not durable. */
export type PublishOptions = Partial<ValueDistribution>

const MAX_SEED = 0x7fffffff

/** Feeds received messages and timer ticks to `Membership` and carries out its effects. */
export class MembershipService {
  private readonly socket: GossipSocket
  private readonly listeners = new Set<MembershipListener>()
  private membership: Membership | null = null
  private timer: NodeJS.Timeout | null = null

  constructor (private readonly options: MembershipServiceOptions) {
    this.socket = new GossipSocket({
      host: options.host,
      port: options.port,
      secrets: options.secrets,
      onMessage: (from, message) => this.handle({ type: 'received', from, message })
    })
  }

  /**
   * Binds the socket and joins through the seeds.
   *
   * @returns the gossip address that this node announces to others
   * @throws Error if the address cannot be bound
   */
  async start (): Promise<string> {
    const bound = await this.socket.bind()
    const gossipAddress = this.options.advertisedAddress ?? bound
    const { node, failureDomain, peerAddress, startedAt, seeds, timings } = this.options
    this.membership = new Membership({
      identity: { node, failureDomain, peerAddress, gossipAddress, startedAt },
      seeds: seeds.filter((seed) => seed !== gossipAddress),
      rng: xoroshiro128plus(this.options.seed ?? randomInt(MAX_SEED)),
      ...(timings === undefined ? {} : { timings })
    })
    this.handle({ type: 'ticked' })
    this.timer = setInterval(() => this.handle({ type: 'ticked' }), TICK_PERIOD_MS)
    return gossipAddress
  }

  /** This node's own entry. */
  me (): Member {
    return this.runningMembership().me
  }

  /** Every member in this node's table, including unreachable members and those that have left. */
  members (): Member[] {
    return this.runningMembership().members()
  }

  /**
   * @param failureDomain - returns only members of this failure domain; all by default
   * @returns members that may receive new work: those that are reachable and not stopping
   */
  membersAcceptingWork (failureDomain?: FailureDomain): Member[] {
    return this.members().filter((member) => acceptsNewWork(member) && (failureDomain === undefined || member.failureDomain === failureDomain))
  }

  /** Local health score; 0 while nothing indicates that this node itself is slow or disconnected. */
  localHealth (): number {
    return this.runningMembership().localHealth
  }

  counters (): Readonly<SocketCounters> {
    return this.socket.counters
  }

  /**
   * Sets this node's value of a topic. Other nodes may miss intermediate values, but receive the last one.
   *
   * @param topic - name of the value
   * @param bytes - contents, which must fit into one datagram
   * @throws RangeError if the contents do not fit
   */
  publish (topic: string, bytes: Uint8Array, { scope = ValueScope.FailureDomain, durable = false }: PublishOptions = {}): void {
    this.carryOut(this.runningMembership().publish(topic, bytes, { scope, durable }, this.options.clock()))
  }

  /**
   * @param topic - topic of the values
   * @param maxAge - returns only values that were received or renewed within this time, in milliseconds
   * @returns the last received value of each node
   */
  values (topic: string, maxAge = Infinity): GossipValue[] {
    return this.runningMembership().board.values(topic, this.options.clock() - maxAge)
  }

  /**
   * @param prefix - prefix of the topics
   * @param maxAge - returns only values that were received or renewed within this time, in milliseconds
   * @returns the last received value of each node and topic
   */
  valuesUnder (prefix: string, maxAge = Infinity): GossipValue[] {
    return this.runningMembership().board.valuesUnder(prefix, this.options.clock() - maxAge)
  }

  /**
   * @param value - node and topic of a stored value
   * @returns time of the monotonic clock at which the value was last received or renewed; 0 if it is no longer stored
   */
  receivedAt ({ node, topic }: Pick<GossipValue, 'node' | 'topic'>): Millis {
    return this.runningMembership().board.receivedAt(node, topic) ?? 0
  }

  /**
   * @param listener - called after each change
   * @returns a function that removes the listener
   */
  onChange (listener: MembershipListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Applies the platform's list of entry VMs. */
  vmListed (asOf: number, vms: readonly ListedVm[]): void {
    this.handle({ type: 'vm_listed', asOf, vms })
  }

  seedsChanged (addresses: readonly string[]): void {
    this.handle({ type: 'seeds_changed', addresses })
  }

  /** Probes a node immediately because a call to it failed. */
  callFailed (node: NodeId): void {
    this.handle({ type: 'call_failed', node })
  }

  /** Replaces the accepted secrets; the first of them signs all later datagrams. */
  rotateSecrets (secrets: readonly string[]): void {
    this.socket.rotateSecrets(secrets)
  }

  /** Test hook: discards the datagrams for which `rule` returns true; null discards none. */
  setDropRule (rule: DropRule | null): void {
    this.socket.setDropRule(rule)
  }

  /** Announces that this node accepts no new work. The node continues to gossip until it is disposed of. */
  leave (): void {
    this.handle({ type: 'leave' })
  }

  /** Sends the final updates to other nodes and closes the socket. */
  async dispose (): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer)
    this.timer = null
    if (this.membership !== null) this.handle({ type: 'stopped' })
    this.membership = null
    this.listeners.clear()
    await this.socket.flush()
    this.socket.dispose()
  }

  private runningMembership (): Membership {
    if (this.membership === null) throw new Error('membership service is not running')
    return this.membership
  }

  private handle (event: MembershipEvent): void {
    if (this.membership === null) return
    this.carryOut(this.membership.handle(event, this.options.clock()))
  }

  private carryOut (effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') this.socket.send(effect.to, effect.message)
      else for (const listener of this.listeners) listener(effect)
    }
  }
}
