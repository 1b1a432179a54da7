/** Makes the nodes known to each other through the platform's store. */
import type { Millis, NodeId } from '@bluebellhill/domain'
import { StoreKey } from '@bluebellhill/platform'
import type { MetadataStore, StoreLease } from '@bluebellhill/platform'
import { describeFailure } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { Log } from '../../log/index.js'

/** Time after which the entry of a node that has gone disappears. */
const LEASE_TTL: Millis = 15_000

/** Interval at which the entry is renewed and the others are read. */
const RENEWAL_PERIOD: Millis = 5_000

const NOT_FOUND = 404

/** Writes this node's entry, and reads those of the others. */
export class NodeEntry {
  #lease: StoreLease | null = null
  #timer: NodeJS.Timeout | null = null
  #disposed = false

  /**
   * @param store - the platform's store
   * @param node - this node
   * @param address - `ip:port` at which it hears the others
   * @param found - told the addresses of all nodes
   * @param log - gets a line for each call that failed
   */
  constructor (
    private readonly store: MetadataStore,
    private readonly node: NodeId,
    private readonly address: string,
    private readonly found: (addresses: readonly string[]) => void,
    private readonly log: Log
  ) {}

  /** Starts to write and read. */
  start (): void {
    void this.#renew()
  }

  dispose (): void {
    this.#disposed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  async #renew (): Promise<void> {
    await this.#keepEntry()
    await this.#readOthers()
    if (!this.#disposed) this.#timer = setTimeout(() => { void this.#renew() }, RENEWAL_PERIOD)
  }

  async #keepEntry (): Promise<void> {
    if (this.#lease === null) {
      await this.#write()
      return
    }
    const renewed = await this.store.renewLease(this.#lease.id)
    if (renewed.ok) return
    this.#report('renew', renewed)
    if (renewed.failure.type !== 'rejected' || renewed.failure.status !== NOT_FOUND) return
    this.#lease = null
    await this.#write()
  }

  async #write (): Promise<void> {
    const lease = await this.store.grantLease(LEASE_TTL)
    if (!lease.ok) {
      this.#report('lease', lease)
      return
    }
    const written = await this.store.put(`${StoreKey.Nodes}${this.node}`, Buffer.from(this.address), lease.value.id)
    if (written.ok) this.#lease = lease.value
    else this.#report('write', written)
  }

  async #readOthers (): Promise<void> {
    const page = await this.store.range(StoreKey.Nodes)
    if (page.ok) this.found(page.value.items.map(({ value }) => value.toString('utf8')))
    else this.#report('read', page)
  }

  #report (call: string, result: Result<unknown, CallFailure>): void {
    if (!result.ok) this.log.warn('nodes.store_call_failed', { call, reason: describeFailure(result.failure) })
  }
}
