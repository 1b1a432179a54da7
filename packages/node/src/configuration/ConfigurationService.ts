/** One node's part in keeping the operators' configuration in force everywhere. */
import { setTimeout as sleep } from 'node:timers/promises'

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { compareVersions, ConfigurationSet } from '@bluebellhill/domain'
import type { ConfigurationEffect, ConfigurationEvent, ConfigurationValue, EditRecord, FailureDomain, NodeId, StoredValue, ValueSource, ValueVersion } from '@bluebellhill/domain'
import type { Configuration, ConfigurationStore } from '@bluebellhill/services'

import { ConfigurationInForce } from './ConfigurationInForce.js'
import type { ConfigurationMember, ConfigurationPeers } from './ConfigurationPeers.js'
import { EXCHANGE_PERIOD_MS, REMOTE_EXCHANGE_SHARE, WATCHER_CHECK_PERIOD_MS, FORWARD_TARGETS, INITIAL_REQUEST_PAUSE_MS, MAX_INITIAL_REQUESTS, WATCHERS_PER_FAILURE_DOMAIN } from './constants.js'
import { StoreWatcher } from './StoreWatcher.js'
import { WriteBackQueue } from './WriteBackQueue.js'
import type { WriteBackResult } from './WriteBackQueue.js'

/** What the service tells the node, for the time line, the log and the metrics. */
export type ConfigurationReport =
  | { readonly type: 'installed', readonly value: ConfigurationValue, readonly source: ValueSource }
  | { readonly type: 'unusable', readonly name: string, readonly revision: number | null, readonly reason: string }
  | { readonly type: 'overwritten', readonly value: ConfigurationValue, readonly overwritten: EditRecord }
  | { readonly type: 'written_back', readonly value: ConfigurationValue, readonly result: WriteBackResult }
  | { readonly type: 'store', readonly available: boolean, readonly reason: string }

export interface ConfigurationServiceOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** Null in a setup without a key-value service. */
  readonly store: ConfigurationStore | null
  readonly peers: ConfigurationPeers
  readonly rng: RandomGenerator
  /** Wall time in milliseconds since the epoch. */
  readonly wallClock: () => number
  readonly report: (report: ConfigurationReport) => void
}

/** A value in force, for the admin address. */
export interface InstalledVersion extends ValueVersion {
  /** Wall time in milliseconds since the epoch. */
  readonly installedAt: number
}

export class ConfigurationService {
  readonly #options: ConfigurationServiceOptions
  readonly #inForce = new ConfigurationInForce()
  readonly #configurationSet = new ConfigurationSet((value) => this.#inForce.check(value))
  readonly #installedVersions = new Map<string, InstalledVersion>()
  readonly #storeWatcher: StoreWatcher | null
  readonly #writeBackQueue: WriteBackQueue | null
  readonly #timers = new Set<NodeJS.Timeout>()
  #disposed = false

  constructor (options: ConfigurationServiceOptions) {
    this.#options = options
    const { store, rng } = options
    this.#writeBackQueue = store === null ? null : new WriteBackQueue(store, (value, result) => this.#finishWriteBack(value, result), rng)
    this.#storeWatcher = store === null
      ? null
      : new StoreWatcher(store, {
        allRead: async ({ values }) => await this.#applyStored({ type: 'store_read', stored: values }, values),
        changed: (storedValue) => void this.#applyStored({ type: 'store_changed', stored: storedValue }, [storedValue]),
        deleted: (name) => this.#handle({ type: 'store_deleted', name }),
        availabilityChanged: (available, reason) => options.report({ type: 'store', available, reason })
      }, rng)
  }

  /** The configuration in force; null before there is any. */
  get current (): Configuration | null {
    return this.#inForce.current
  }

  /** Whether this node watches the store. */
  get isWatching (): boolean {
    return this.#storeWatcher?.isRunning ?? false
  }

  /** A number that is the same at two nodes that know the same versions. */
  get digest (): number {
    return this.#configurationSet.digest
  }

  /** The newest version that this node knows of every value. */
  versions (): ValueVersion[] {
    return this.#configurationSet.versions()
  }

  /** The versions that are in force, and since when. */
  installedVersions (): InstalledVersion[] {
    return [...this.#installedVersions.values()]
  }

  /**
   * Gives values to a peer.
   *
   * @param versions - what the peer knows
   * @returns values that are newer here
   */
  valuesNewerThan (versions: readonly ValueVersion[]): ConfigurationValue[] {
    return this.#configurationSet.valuesNewerThan(versions)
  }

  /**
   * Gives values by name.
   *
   * @param names - names of values
   * @returns those that this node knows
   */
  values (names: readonly string[]): ConfigurationValue[] {
    return names.flatMap((name) => this.#configurationSet.value(name) ?? [])
  }

  /**
   * Takes values from a peer; older ones are ignored.
   *
   * @param from - the peer
   * @param values - checked for their form, not for their text
   */
  async install (from: NodeId, values: readonly ConfigurationValue[]): Promise<void> {
    await this.#checkNewer(values)
    this.#handle({ type: 'received', from, values })
  }

  /** Gets a first configuration from peers, else from the store, and begins to keep it up to date. */
  async start (): Promise<void> {
    await this.#loadInitial()
    if (this.#disposed) return
    this.#runPeriodically(WATCHER_CHECK_PERIOD_MS, async () => this.#startOrStopWatcher())
    this.#runPeriodically(EXCHANGE_PERIOD_MS, async () => await this.#exchangeWith(this.#choosePeer()))
    this.#startOrStopWatcher()
  }

  /** Stops watching and comparing. */
  dispose (): void {
    this.#disposed = true
    this.#storeWatcher?.stop()
    this.#writeBackQueue?.dispose()
    for (const timer of this.#timers) clearTimeout(timer)
  }

  async #loadInitial (): Promise<void> {
    for (let attempts = 0; attempts < MAX_INITIAL_REQUESTS && this.#configurationSet.isEmpty && !this.#disposed; attempts += 1) await this.#requestInitial()
    if (this.#disposed) return
    if (this.#configurationSet.isEmpty && !this.#shouldWatchStore()) await this.#storeWatcher?.readOnce()
  }

  /** Waits for the membership where no peer is known yet, so that nodes that start together do not all read the store. */
  async #requestInitial (): Promise<void> {
    const peer = this.#choosePeer()
    if (peer === null) await sleep(INITIAL_REQUEST_PAUSE_MS * (0.5 + this.#random()))
    else await this.#exchangeWith(peer)
  }

  async #applyStored (event: ConfigurationEvent, stored: readonly StoredValue[]): Promise<void> {
    await this.#checkNewer(stored.flatMap(({ value }) => value ?? []))
    for (const storedValue of stored) this.#writeBackQueue?.recordStored(storedValue)
    this.#handle(event)
  }

  /** Checks the texts of newer values ahead, so that all of them come into force in one step. */
  async #checkNewer (values: readonly ConfigurationValue[]): Promise<void> {
    const newer = values.filter((value) => {
      const current = this.#configurationSet.value(value.name)
      return current === null || compareVersions(value, current) > 0
    })
    await this.#inForce.checkAll(newer)
  }

  #handle (event: ConfigurationEvent): void {
    if (this.#disposed) return
    const effects = this.#configurationSet.handle(event)
    const installed = effects.flatMap((effect) => effect.type === 'install' ? [effect.value] : [])
    if (installed.length > 0) this.#inForce.install(installed)
    for (const effect of effects) this.#carryOut(effect)
    if (event.type === 'received' && installed.length > 0) this.#forwardFromOtherDomain(event.from, installed)
  }

  #carryOut (effect: ConfigurationEffect): void {
    const { report, wallClock } = this.#options
    switch (effect.type) {
      case 'install': {
        const { name, revision, edit } = effect.value
        this.#installedVersions.set(name, { name, revision, edit, installedAt: wallClock() })
        return report({ type: 'installed', value: effect.value, source: effect.source })
      }
      case 'push':
        return this.#pushToAssignedMembers(effect.values)
      case 'write_back':
        return this.#writeBackQueue?.add(effect.value, effect.modRevision)
      case 'report_fork':
        return report({ type: 'overwritten', value: effect.value, overwritten: effect.overwritten })
      case 'report_unusable':
        return report({ type: 'unusable', name: effect.name, revision: effect.revision, reason: effect.reason })
    }
  }

  #finishWriteBack (value: ConfigurationValue, result: WriteBackResult): void {
    this.#handle({ type: 'written_back', name: value.name })
    this.#options.report({ type: 'written_back', value, result })
  }

  /** Members of the own failure domain in an order that all of them agree on. */
  #domainMembers (): ConfigurationMember[] {
    return this.#options.peers.members()
      .filter((member) => member.failureDomain === this.#options.failureDomain)
      .sort((left, right) => left.node < right.node ? -1 : 1)
  }

  #shouldWatchStore (): boolean {
    const watchers = this.#domainMembers().slice(0, WATCHERS_PER_FAILURE_DOMAIN)
    return watchers.length < WATCHERS_PER_FAILURE_DOMAIN || watchers.some((member) => member.node === this.#options.node)
  }

  #startOrStopWatcher (): void {
    if (this.#shouldWatchStore()) this.#storeWatcher?.start()
    else if (this.isWatching) this.#storeWatcher?.stop()
  }

  /** The watchers of a failure domain share its other members among themselves. */
  #pushToAssignedMembers (values: readonly ConfigurationValue[]): void {
    const members = this.#domainMembers()
    const watchers = Math.min(members.length, WATCHERS_PER_FAILURE_DOMAIN)
    const rank = Math.max(0, members.findIndex((member) => member.node === this.#options.node))
    this.#push(members.slice(watchers).filter((_member, index) => index % watchers === rank % watchers), values)
  }

  /** A value that came from another failure domain goes to a few members of the own one at once. */
  #forwardFromOtherDomain (from: NodeId, values: readonly ConfigurationValue[]): void {
    const { peers, node, failureDomain } = this.#options
    const sender = peers.members().find((member) => member.node === from)
    if (sender === undefined || sender.failureDomain === failureDomain) return
    const others = this.#domainMembers().filter((member) => member.node !== node)
    const start = Math.floor(this.#random() * others.length)
    this.#push([...others.slice(start), ...others.slice(0, start)].slice(0, FORWARD_TARGETS), values)
  }

  #push (members: readonly ConfigurationMember[], values: readonly ConfigurationValue[]): void {
    for (const member of members) this.#options.peers.push(member.node, values).catch(() => {})
  }

  #choosePeer (): NodeId | null {
    const others = this.#options.peers.members().filter((member) => member.node !== this.#options.node)
    const domainPeers = others.filter((member) => member.failureDomain === this.#options.failureDomain)
    const remotePeers = others.filter((member) => member.failureDomain !== this.#options.failureDomain)
    const preferred = this.#random() < REMOTE_EXCHANGE_SHARE ? remotePeers : domainPeers
    const candidates = preferred.length > 0 ? preferred : others
    return candidates[Math.floor(this.#random() * candidates.length)]?.node ?? null
  }

  /** Compares with a peer and moves newer values either way. A peer that does not answer is passed over. */
  async #exchangeWith (peer: NodeId | null): Promise<void> {
    if (peer === null) return
    const { peers } = this.#options
    try {
      const peerVersions = await peers.versions(peer, this.#configurationSet.digest)
      if (peerVersions === null || this.#disposed) return
      const outdatedNames = this.#configurationSet.outdatedNames(peerVersions)
      const newer = this.#configurationSet.valuesNewerThan(peerVersions)
      if (outdatedNames.length > 0) await this.install(peer, await peers.values(peer, outdatedNames))
      if (newer.length > 0) await peers.push(peer, newer)
    } catch {
      // The next comparison goes to another peer.
    }
  }

  #runPeriodically (period: number, run: () => Promise<void>): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      void run().finally(() => { if (!this.#disposed) this.#runPeriodically(period, run) })
    }, period * (0.5 + this.#random()))
    this.#timers.add(timer)
  }

  #random (): number {
    return uniformFloat64(this.#options.rng)
  }
}
