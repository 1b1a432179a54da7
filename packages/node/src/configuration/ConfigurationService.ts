/** Keeps the operators' configuration of one node up to date, from the key-value service and from other nodes. */
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

/** A report that the node writes to the time line, the log and the metrics. */
export type ConfigurationReport =
  | { readonly type: 'installed', readonly value: ConfigurationValue, readonly source: ValueSource }
  | { readonly type: 'unusable', readonly name: string, readonly revision: number | null, readonly reason: string }
  | { readonly type: 'overwritten', readonly value: ConfigurationValue, readonly overwritten: EditRecord }
  | { readonly type: 'written_back', readonly value: ConfigurationValue, readonly result: WriteBackResult }
  | { readonly type: 'store', readonly available: boolean, readonly reason: string }

export interface ConfigurationServiceOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** Null in a deployment without a key-value service. */
  readonly store: ConfigurationStore | null
  readonly peers: ConfigurationPeers
  readonly rng: RandomGenerator
  /** Wall time in milliseconds since the epoch. */
  readonly wallClock: () => number
  readonly report: (report: ConfigurationReport) => void
}

/** The version of a value in force, as the admin API returns it. */
export interface InstalledVersion extends ValueVersion {
  /** Wall time in milliseconds since the epoch. */
  readonly installedAt: number
}

/**
 * Two nodes of each failure domain watch the store and push changes to the other members of their failure domain. In
 * addition, every node periodically compares its versions with a random peer, and both get the newer values.
 */
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

  /** The configuration in force; null before the first one is installed. */
  get current (): Configuration | null {
    return this.#inForce.current
  }

  /** Whether this node watches the store. */
  get isWatching (): boolean {
    return this.#storeWatcher?.isRunning ?? false
  }

  /** A number that is equal on two nodes that have the same versions. */
  get digest (): number {
    return this.#configurationSet.digest
  }

  /** The newest version of every value that this node has received. */
  versions (): ValueVersion[] {
    return this.#configurationSet.versions()
  }

  /** The versions in force, with the times at which they were installed. */
  installedVersions (): InstalledVersion[] {
    return [...this.#installedVersions.values()]
  }

  /**
   * Returns the values that a peer lacks or has in an older version.
   *
   * @param versions - versions that the peer has
   * @returns newer values of this node
   */
  valuesNewerThan (versions: readonly ValueVersion[]): ConfigurationValue[] {
    return this.#configurationSet.valuesNewerThan(versions)
  }

  /**
   * Returns values by name.
   *
   * @param names - names of values
   * @returns the newest version of each value that this node has
   */
  values (names: readonly string[]): ConfigurationValue[] {
    return names.flatMap((name) => this.#configurationSet.value(name) ?? [])
  }

  /**
   * Applies the values that a peer sent; versions that are not newer are ignored.
   *
   * @param from - the peer
   * @param values - values whose fields were validated, but not their configuration texts
   */
  async install (from: NodeId, values: readonly ConfigurationValue[]): Promise<void> {
    await this.#checkNewer(values)
    this.#handle({ type: 'received', from, values })
  }

  /** Loads the first configuration from peers, or from the store if no peer has one, and starts to keep it up to date. */
  async start (): Promise<void> {
    await this.#loadInitial()
    if (this.#disposed) return
    this.#runPeriodically(WATCHER_CHECK_PERIOD_MS, async () => this.#startOrStopWatcher())
    this.#runPeriodically(EXCHANGE_PERIOD_MS, async () => await this.#exchangeWith(this.#choosePeer()))
    this.#startOrStopWatcher()
  }

  /** Stops the watch of the store, the write-backs and the exchange with peers. */
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

  /** Requests the values of one peer, or waits if membership has no peer yet, so that nodes that start together do not all read the store. */
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

  /** Checks the texts of newer values in advance, so that all of them come into force in one step. */
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

  /** Members of the own failure domain, sorted by name so that every member computes the same order. */
  #domainMembers (): ConfigurationMember[] {
    return this.#options.peers.members()
      .filter((member) => member.failureDomain === this.#options.failureDomain)
      .sort((left, right) => left.node < right.node ? -1 : 1)
  }

  /** The first members in the order of names watch the store. All do if there are fewer members than watchers. */
  #shouldWatchStore (): boolean {
    const watchers = this.#domainMembers().slice(0, WATCHERS_PER_FAILURE_DOMAIN)
    return watchers.length < WATCHERS_PER_FAILURE_DOMAIN || watchers.some((member) => member.node === this.#options.node)
  }

  #startOrStopWatcher (): void {
    if (this.#shouldWatchStore()) this.#storeWatcher?.start()
    else if (this.isWatching) this.#storeWatcher?.stop()
  }

  /** Pushes values to this node's share of the members that do not watch; the watchers divide these members among themselves. */
  #pushToAssignedMembers (values: readonly ConfigurationValue[]): void {
    const members = this.#domainMembers()
    const watchers = Math.min(members.length, WATCHERS_PER_FAILURE_DOMAIN)
    const rank = Math.max(0, members.findIndex((member) => member.node === this.#options.node))
    this.#push(members.slice(watchers).filter((_member, index) => index % watchers === rank % watchers), values)
  }

  /** Forwards values from another failure domain immediately to a few random members of the own failure domain. */
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

  /** Compares versions with a peer and transfers newer values in both directions. Ignores a peer that does not answer. */
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
      // The next exchange chooses a peer at random again.
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
