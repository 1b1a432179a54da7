/** Stores the leadership of a failure domain as a leased key in the key-value service. */
import type { FailureDomain, Millis } from '@bluebellhill/domain'
import type { KeyValueService } from '@bluebellhill/services'

import { LeadershipStore } from './ports.js'
import type { LeaseAnswer } from './ports.js'

const KEY_PREFIX = 'bluebellhill/leader/'
const MS_PER_SECOND = 1_000

const UNANSWERED_LEASE: LeaseAnswer = { kind: 'unanswered' }
const REFUSED_LEASE: LeaseAnswer = { kind: 'refused' }

/** Keeps the lease of each leadership term of this process, by the token of the term. */
export class KeyValueLeadership extends LeadershipStore {
  readonly #keyValue: KeyValueService
  readonly #leases = new Map<string, string>()

  /** @param keyValue - the platform's key-value service */
  constructor (keyValue: KeyValueService) {
    super()
    this.#keyValue = keyValue
  }

  async acquire (failureDomain: FailureDomain, token: string, lifetime: Millis): Promise<LeaseAnswer> {
    const lease = await this.#keyValue.grantLease(Math.ceil(lifetime / MS_PER_SECOND))
    if (!lease.ok) return UNANSWERED_LEASE
    const key = `${KEY_PREFIX}${failureDomain}`
    const answer = await this.#keyValue.transact({
      compare: [{ target: 'mod', key, revision: 0 }],
      success: [{ type: 'put', key, value: Buffer.from(token), lease: lease.value.id }],
      failure: [{ type: 'range', query: { key } }]
    })
    if (!answer.ok) return await this.#readBack(key, token, lease.value.id)
    if (answer.value.succeeded) return this.#recordLease(token, lease.value.id, answer.value.revision)
    await this.#keyValue.revokeLease(lease.value.id)
    return REFUSED_LEASE
  }

  async renew (_failureDomain: FailureDomain, token: string): Promise<LeaseAnswer> {
    const lease = this.#leases.get(token)
    if (lease === undefined) return REFUSED_LEASE
    const answer = await this.#keyValue.keepLeaseAlive(lease)
    if (!answer.ok) return UNANSWERED_LEASE
    return answer.value.ttlSeconds > 0 ? { kind: 'granted', revision: 0 } : REFUSED_LEASE
  }

  async release (_failureDomain: FailureDomain, token: string): Promise<void> {
    const lease = this.#leases.get(token)
    this.#leases.delete(token)
    if (lease !== undefined) await this.#keyValue.revokeLease(lease)
  }

  /** Reads the key after the response to a write was lost, to find out whether the write took effect. */
  async #readBack (key: string, token: string, lease: string): Promise<LeaseAnswer> {
    const answer = await this.#keyValue.range({ key })
    const entry = answer.ok ? answer.value.values[0] : undefined
    if (entry !== undefined && entry.value.toString() === token) return this.#recordLease(token, lease, entry.modRevision)
    await this.#keyValue.revokeLease(lease)
    return UNANSWERED_LEASE
  }

  #recordLease (token: string, lease: string, revision: number): LeaseAnswer {
    this.#leases.set(token, lease)
    return { kind: 'granted', revision }
  }
}
