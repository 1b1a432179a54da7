import { randomInt } from 'node:crypto'

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { Membership, acceptsNewWork, TICK_PERIOD_MS, ValueScope } from '@bluebellhill/domain'
import type { FailureDomain, GossipValue, ListedVm, Member, MembershipEffect, MembershipEvent, MembershipTimings, Millis, NodeId, ValueDistribution } from '@bluebellhill/domain'

import { GossipSocket } from './GossipSocket.js'
import type { DropRule, SocketCounters } from './GossipSocket.js'

/** Options of a node's membership service. */
export interface MembershipServiceOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** `ip:port` of the gRPC server. */
  readonly peerAddress: string
  /** IP number and port of the gossip socket; port 0 takes a free one. */
  readonly host: string
  readonly port: number
  /** `ip:port` that others reach the socket by; the bound address where absent. */
  readonly advertisedAddress?: string
  /** Gossip addresses to join through. */
  readonly seeds: readonly string[]
  /** Shared secrets: the first signs, every one is accepted. */
  readonly secrets: readonly string[]
  /** Monotonic clock in milliseconds. */
  readonly clock: () => Millis
  /** Wall-clock milliseconds at which this process started. */
  readonly startedAt: number
  /** Seed of the generator; random where absent. */
  readonly seed?: number
  readonly timings?: Partial<MembershipTimings>
}

/** What listeners hear; sends are carried out by the service itself. */
export type MembershipChange = Exclude<MembershipEffect, { readonly type: 'send' }>
export type MembershipListener = (change: MembershipChange) => void

/** How a value is spread: to the failure domain, unless told otherwise. */
export type PublishOptions = Partial<ValueDistribution>

const MAX_SEED = 0x7fffffff

/** Hosts the membership aggregate on a UDP socket and timers. */
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
   * @returns the gossip address that others are told
   * @throws Error where the address cannot be bound
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

  /** Every known member, unreachable and left ones too. */
  members (): Member[] {
    return this.runningMembership().members()
  }

  /**
   * @param failureDomain - all where absent
   * @returns members that may get new work
   */
  membersAcceptingWork (failureDomain?: FailureDomain): Member[] {
    return this.members().filter((member) => acceptsNewWork(member) && (failureDomain === undefined || member.failureDomain === failureDomain))
  }

  /** 0 while this node trusts its own judgement of others. */
  localHealth (): number {
    return this.runningMembership().localHealth
  }

  counters (): Readonly<SocketCounters> {
    return this.socket.counters
  }

  /**
   * Sets this node's value of a topic; other nodes get the last one.
   *
   * @param topic - name of the value
   * @param bytes - contents; small enough for a datagram
   * @throws RangeError where it does not fit
   */
  publish (topic: string, bytes: Uint8Array, { scope = ValueScope.FailureDomain, durable = false }: PublishOptions = {}): void {
    this.carryOut(this.runningMembership().publish(topic, bytes, { scope, durable }, this.options.clock()))
  }

  /**
   * @param topic - name of the values
   * @param maxAge - only values that were received or renewed within these milliseconds
   * @returns the last known value of each node
   */
  values (topic: string, maxAge = Infinity): GossipValue[] {
    return this.runningMembership().board.values(topic, this.options.clock() - maxAge)
  }

  /**
   * @param prefix - start of the topics
   * @param maxAge - only values that were received or renewed within these milliseconds
   * @returns the last known values of each node
   */
  valuesUnder (prefix: string, maxAge = Infinity): GossipValue[] {
    return this.runningMembership().board.valuesUnder(prefix, this.options.clock() - maxAge)
  }

  /**
   * @param value - value that is held
   * @returns reading of the monotonic clock when it was last received or renewed; 0 where it is not held any more
   */
  receivedAt ({ node, topic }: Pick<GossipValue, 'node' | 'topic'>): Millis {
    return this.runningMembership().board.receivedAt(node, topic) ?? 0
  }

  /**
   * @param listener - called after each change
   * @returns removes the listener
   */
  onChange (listener: MembershipListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Takes in the platform's list of entry VMs. */
  vmListed (asOf: number, vms: readonly ListedVm[]): void {
    this.handle({ type: 'vm_listed', asOf, vms })
  }

  seedsChanged (addresses: readonly string[]): void {
    this.handle({ type: 'seeds_changed', addresses })
  }

  /** A call to the node failed: it is probed at once. */
  callFailed (node: NodeId): void {
    this.handle({ type: 'call_failed', node })
  }

  /** Accepts these secrets and signs with the first. */
  rotateSecrets (secrets: readonly string[]): void {
    this.socket.rotateSecrets(secrets)
  }

  /** Test hook: loses the datagrams for which `rule` holds. */
  setDropRule (rule: DropRule | null): void {
    this.socket.setDropRule(rule)
  }

  /** Tells the others that this node takes no new work; it goes on gossiping until disposed. */
  leave (): void {
    this.handle({ type: 'leave' })
  }

  /** Says the last word and closes the socket. */
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
