/** Registers this node in the platform's store, and reads the addresses of the other nodes from it. */
import type { FailureDomain, Millis, NodeId, SchedulerCandidate } from '@bluebellhill/domain'
import { StoreKey } from '@bluebellhill/platform'
import type { MetadataStore, PageCall, StoreItem, StoreLease } from '@bluebellhill/platform'
import { describeFailure, isSocketAddress } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import { callFirst } from './callUntilAnswered.js'
import { errorText } from '../../log/index.js'
import type { Log } from '../../log/index.js'

/** Time after which the entry of a node that no longer renews it expires. */
const LEASE_TTL: Millis = 300_000

/** Interval at which the entry is renewed. */
const RENEWAL_PERIOD: Millis = 100_000

/** Delay before a failed call is repeated. */
const RETRY_DELAY: Millis = 2_000

/** Longest time after which a node registers again once the store was restored, so that not all nodes do at once. */
const MAX_RESTORE_DELAY: Millis = 2_000

/** Renewals between two listings of all nodes. Few are needed: a starting node lists all others and contacts them. */
const RENEWALS_PER_LISTING = 2

const NOT_FOUND = 404

export interface NodeRegistrationOptions {
  readonly store: MetadataStore
  /** This node; it registers its address, failure domain and processor. */
  readonly self: SchedulerCandidate
  /** Called with the listed nodes, and with the addresses of those that registered nothing else. */
  readonly onNodesListed: (nodes: readonly SchedulerCandidate[], addresses: readonly string[]) => void
  /** Receives a line for each failed call. */
  readonly log: Log
}

/** Keeps the store entry of this node alive, and lists those of the others. */
export class NodeRegistration {
  readonly #options: NodeRegistrationOptions
  #lease: StoreLease | null = null
  #renewals = 0
  #timer: NodeJS.Timeout | null = null
  /** Whether the store was restored from a copy since the last registration. */
  #isRestored = false
  #isRefreshing = false
  #isDisposed = false

  /** @param options - the store, and the id and address of this node */
  constructor (options: NodeRegistrationOptions) {
    this.#options = options
  }

  /**
   * Starts the periodic renewals and listings. The nodes that were there before are listed at once: a node that starts again with
   * all others learns from it whether it has to watch the store. Nodes that start at the same moment are found after the registration.
   */
  start (): void {
    void this.#listNodes(true, callFirst)
    void this.#refresh()
  }

  /** Registers this node anew soon: the store was restored from a copy that may lack its entry, its lease and other nodes. */
  storeRestored (): void {
    this.#isRestored = true
    if (!this.#isRefreshing) this.#scheduleRefresh(true)
  }

  dispose (): void {
    this.#isDisposed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  async #refresh (): Promise<void> {
    this.#isRefreshing = true
    if (this.#isRestored) this.#forgetRegistration()
    const isDone = await this.#renewAndList().catch((error: unknown) => this.#failed(error))
    this.#isRefreshing = false
    this.#scheduleRefresh(isDone)
  }

  async #renewAndList (): Promise<boolean> {
    return await this.#renewEntry() && await this.#listNodesIfDue()
  }

  /** The next refresh tries again. */
  #failed (error: unknown): false {
    this.#options.log.error('nodes.refresh_failed', { reason: errorText(error) })
    return false
  }

  #scheduleRefresh (isDone: boolean): void {
    if (this.#isDisposed) return
    if (this.#timer !== null) clearTimeout(this.#timer)
    const usualDelay = isDone ? RENEWAL_PERIOD : RETRY_DELAY
    this.#timer = setTimeout(() => { void this.#refresh() }, this.#isRestored ? MAX_RESTORE_DELAY * Math.random() : usualDelay)
  }

  #forgetRegistration (): void {
    this.#isRestored = false
    this.#lease = null
    this.#renewals = 0
  }

  async #listNodesIfDue (): Promise<boolean> {
    const isDue = this.#renewals % RENEWALS_PER_LISTING === 0
    if (isDue && !await this.#listNodes()) return false
    this.#renewals += 1
    return true
  }

  /** @returns whether the entry is in the store */
  async #renewEntry (): Promise<boolean> {
    if (this.#lease === null) return await this.#writeEntry()
    const renewed = await this.#options.store.renewLease(this.#lease.id)
    if (this.#succeeded('renew', renewed)) return true
    if (renewed.failure.type !== 'rejected' || renewed.failure.status !== NOT_FOUND) return false
    this.#lease = null
    return await this.#writeEntry()
  }

  async #writeEntry (): Promise<boolean> {
    const { store, self } = this.#options
    const lease = await store.grantLease(LEASE_TTL)
    if (!this.#succeeded('lease', lease)) return false
    const written = await store.put(`${StoreKey.Nodes}${self.node}`, Buffer.from(encodeNodeEntry(self)), lease.value.id)
    if (!this.#succeeded('write', written)) return false
    this.#lease = lease.value
    return true
  }

  /**
   * @param mayBeStale - whether the pages may be some seconds old
   * @param call - makes the call of each page; once if absent
   */
  async #listNodes (mayBeStale = false, call?: PageCall): Promise<boolean> {
    const { store, onNodesListed } = this.#options
    for await (const page of store.pages(StoreKey.Nodes, mayBeStale, call)) {
      if (!this.#succeeded('read', page)) return false
      const entries = page.value.items.flatMap((item) => this.#parse(item))
      onNodesListed(entries.filter((entry) => typeof entry !== 'string'), entries.filter((entry) => typeof entry === 'string'))
    }
    return true
  }

  #parse ({ key, value }: StoreItem): Array<SchedulerCandidate | string> {
    const entry = parseNodeEntry(key.slice(StoreKey.Nodes.length), value.toString('utf8'))
    if (entry !== null) return [entry]
    this.#options.log.warn('nodes.entry_unusable', { key })
    return []
  }

  #succeeded<Value> (call: string, result: Result<Value, CallFailure>): result is { readonly ok: true, readonly value: Value } {
    if (!result.ok) this.#options.log.warn('nodes.store_call_failed', { call, reason: describeFailure(result.failure) })
    return result.ok
  }
}

/**
 * Earlier builds read an entry as `ip:port` and ignore what follows a second colon.
 *
 * @param candidate - a node
 * @returns its entry: `ip:port:domain:processor`
 */
export const encodeNodeEntry = ({ address, failureDomain, processor }: SchedulerCandidate): string =>
  [address, encodeURIComponent(failureDomain), processor].join(':')

/**
 * @param node - name of a node
 * @param entry - its entry
 * @returns the node; only its address if it is of an earlier build; null if the entry is malformed
 */
export const parseNodeEntry = (node: string, entry: string): SchedulerCandidate | string | null => {
  const [host = '', port = '', domain, processor] = entry.split(':')
  const address = `${host}:${port}`
  if (!isSocketAddress(address)) return null
  if (domain === undefined || !(Number(processor) > 0)) return address
  const failureDomain = decodeDomain(domain)
  return failureDomain === null ? null : { node: node as NodeId, address, failureDomain, processor: Number(processor) }
}

const decodeDomain = (text: string): FailureDomain | null => {
  try {
    return decodeURIComponent(text) as FailureDomain
  } catch {
    return null
  }
}
