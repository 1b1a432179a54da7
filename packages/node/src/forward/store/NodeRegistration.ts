/** Makes the nodes known to each other through the platform's store. */
import type { Millis, NodeId } from '@bluebellhill/domain'
import { StoreKey } from '@bluebellhill/platform'
import type { MetadataStore, StoreLease } from '@bluebellhill/platform'
import { describeFailure } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { Log } from '../../log/index.js'

/** Time after which the entry of a node that has gone disappears. */
const LEASE_TTL: Millis = 45_000

/** Interval at which the entry is renewed. */
const RENEWAL_PERIOD: Millis = 15_000

/** Pause after a call that failed. */
const RETRY_DELAY: Millis = 2_000

/** Renewals between two readings of the other entries: nodes that start read them, and speak to all whom they find. */
const RENEWALS_PER_LISTING = 4

const NOT_FOUND = 404

export interface NodeRegistrationOptions {
  readonly store: MetadataStore
  readonly node: NodeId
  /** `ip:port` at which this node hears the others. */
  readonly address: string
  /** Told the addresses of all nodes. */
  readonly onNodesListed: (addresses: readonly string[]) => void
  /** Gets a line for each call that failed. */
  readonly log: Log
}

/** Writes this node's entry, and reads those of the others. */
export class NodeRegistration {
  readonly #options: NodeRegistrationOptions
  #lease: StoreLease | null = null
  #renewals = 0
  #timer: NodeJS.Timeout | null = null
  #isDisposed = false

  /** @param options - the store, and what is written there */
  constructor (options: NodeRegistrationOptions) {
    this.#options = options
  }

  /** Starts to write and read. */
  start (): void {
    void this.#refresh()
  }

  dispose (): void {
    this.#isDisposed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  async #refresh (): Promise<void> {
    const isDone = await this.#renewEntry() && await this.#listNodesIfDue()
    if (this.#isDisposed) return
    this.#timer = setTimeout(() => { void this.#refresh() }, isDone ? RENEWAL_PERIOD : RETRY_DELAY)
  }

  async #listNodesIfDue (): Promise<boolean> {
    const isDue = this.#renewals % RENEWALS_PER_LISTING === 0
    if (isDue && !await this.#listNodes()) return false
    this.#renewals += 1
    return true
  }

  /** @returns whether the entry stands */
  async #renewEntry (): Promise<boolean> {
    if (this.#lease === null) return await this.#writeEntry()
    const renewed = await this.#options.store.renewLease(this.#lease.id)
    if (this.#succeeded('renew', renewed)) return true
    if (renewed.failure.type !== 'rejected' || renewed.failure.status !== NOT_FOUND) return false
    this.#lease = null
    return await this.#writeEntry()
  }

  async #writeEntry (): Promise<boolean> {
    const { store, node, address } = this.#options
    const lease = await store.grantLease(LEASE_TTL)
    if (!this.#succeeded('lease', lease)) return false
    const written = await store.put(`${StoreKey.Nodes}${node}`, Buffer.from(address), lease.value.id)
    if (!this.#succeeded('write', written)) return false
    this.#lease = lease.value
    return true
  }

  async #listNodes (): Promise<boolean> {
    const { store, onNodesListed } = this.#options
    for (let lastKey = ''; ;) {
      const page = await store.range(StoreKey.Nodes, lastKey)
      if (!this.#succeeded('read', page)) return false
      const { items, hasMore } = page.value
      onNodesListed(items.map(({ value }) => value.toString('utf8')))
      lastKey = items.at(-1)?.key ?? ''
      if (!hasMore || lastKey === '') return true
    }
  }

  #succeeded<Value> (call: string, result: Result<Value, CallFailure>): result is { readonly ok: true, readonly value: Value } {
    if (!result.ok) this.#options.log.warn('nodes.store_call_failed', { call, reason: describeFailure(result.failure) })
    return result.ok
  }
}
