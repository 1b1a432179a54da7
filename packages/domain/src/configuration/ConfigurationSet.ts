/** Keeps the newest configuration values that a node has received, and those that it has in force. */
import { assertNever } from '../types.js'
import { hashText } from '../membership/hash.js'
import { MAX_VALUES } from './constants.js'
import { compareVersions, overwrites } from './versions.js'
import type { ConfigurationEffect, ConfigurationEvent, ConfigurationValue, StoredValue, ValueSource, ValueVersion } from './types.js'

/** Returns the reason why a value cannot be put in force, or null if it can. */
export type UsabilityCheck = (value: ConfigurationValue) => string | null

/**
 * Never returns to an older value, whatever the store or a peer sends. If the store has an older value, the newer one is
 * written back on condition that the key is unchanged since it was read: the condition fails after a stale read and holds
 * after the store was restored.
 */
export class ConfigurationSet {
  readonly #check: UsabilityCheck
  readonly #newest = new Map<string, ConfigurationValue>()
  readonly #inForce = new Map<string, ConfigurationValue>()
  readonly #writingBack = new Set<string>()
  #digest = 0

  /** @param check - decides whether this node can use a value */
  constructor (check: UsabilityCheck = () => null) {
    this.#check = check
  }

  /** Values in force, without removed ones. */
  get inForce (): ConfigurationValue[] {
    return [...this.#inForce.values()].filter((value) => !value.removed)
  }

  /** Whether this node has no value yet. */
  get isEmpty (): boolean {
    return this.#newest.size === 0
  }

  /** A number that is equal on two nodes that have the same versions. */
  get digest (): number {
    return this.#digest
  }

  /**
   * Returns the newest version of a value that this node has received.
   *
   * @param name - the value's name
   * @returns the value, or null if there is none
   */
  value (name: string): ConfigurationValue | null {
    return this.#newest.get(name) ?? null
  }

  /** Revision and edit of the newest version of every value. */
  versions (): ValueVersion[] {
    return [...this.#newest.values()].map(({ name, revision, edit }) => ({ name, revision, edit }))
  }

  /**
   * Returns the values that a peer lacks or has in an older version.
   *
   * @param versions - versions that the peer has
   * @returns newer values of this node
   */
  valuesNewerThan (versions: readonly ValueVersion[]): ConfigurationValue[] {
    const peerVersions = new Map(versions.map((version) => [version.name, version]))
    return [...this.#newest.values()].filter((value) => {
      const other = peerVersions.get(value.name)
      return other === undefined || compareVersions(value, other) > 0
    })
  }

  /**
   * Returns the names of the values that this node lacks or has in an older version than a peer.
   *
   * @param versions - versions that the peer has
   * @returns names of values to request
   */
  outdatedNames (versions: readonly ValueVersion[]): string[] {
    return versions
      .filter((version) => {
        const own = this.#newest.get(version.name)
        return own === undefined || compareVersions(own, version) < 0
      })
      .map((version) => version.name)
  }

  /**
   * Handles an event.
   *
   * @param event - event to handle
   * @returns effects to carry out
   */
  handle (event: ConfigurationEvent): ConfigurationEffect[] {
    switch (event.type) {
      case 'store_read':
        return this.#applyStoreRead(event.stored)
      case 'store_changed':
        return this.#applyStored([event.stored])
      case 'store_deleted':
        return this.#restoreMissing(event.name)
      case 'received':
        return event.values.flatMap((value) => this.#apply(value, { type: 'peer', node: event.from }))
      case 'written_back':
        this.#writingBack.delete(event.name)
        return []
      default:
        return assertNever(event)
    }
  }

  #applyStoreRead (stored: readonly StoredValue[]): ConfigurationEffect[] {
    const present = new Set(stored.map((entry) => entry.name))
    const missing = [...this.#newest.keys()].filter((name) => !present.has(name))
    return [...this.#applyStored(stored), ...missing.flatMap((name) => this.#restoreMissing(name))]
  }

  #applyStored (stored: readonly StoredValue[]): ConfigurationEffect[] {
    const effects = stored.flatMap((entry) => this.#applyStoredValue(entry))
    const installed = effects.flatMap((effect) => effect.type === 'install' ? [effect.value] : [])
    return installed.length === 0 ? effects : [...effects, { type: 'push', values: installed }]
  }

  #applyStoredValue ({ name, modRevision, value }: StoredValue): ConfigurationEffect[] {
    if (value === null) return [{ type: 'report_unusable', name, revision: null, reason: 'the stored bytes are not a configuration value' }]
    const current = this.#newest.get(name)
    if (current === undefined || compareVersions(value, current) >= 0) return this.#apply(value, { type: 'store' })
    return this.#writeBack(current, modRevision)
  }

  #apply (value: ConfigurationValue, source: ValueSource): ConfigurationEffect[] {
    const current = this.#newest.get(value.name)
    if (current !== undefined && compareVersions(value, current) <= 0) return []
    if (current === undefined && this.#newest.size >= MAX_VALUES) {
      return [{ type: 'report_unusable', name: value.name, revision: value.revision, reason: `the limit of ${MAX_VALUES} values is reached` }]
    }
    this.#newest.set(value.name, value)
    this.#digest = (this.#digest ^ digestOf(current) ^ digestOf(value)) >>> 0
    const forkReports: ConfigurationEffect[] = current !== undefined && overwrites(value, current) ? [{ type: 'report_fork', value, overwritten: current }] : []
    return [...forkReports, ...this.#install(value, source)]
  }

  #install (value: ConfigurationValue, source: ValueSource): ConfigurationEffect[] {
    const reason = value.removed ? null : this.#check(value)
    if (reason !== null) return [{ type: 'report_unusable', name: value.name, revision: value.revision, reason }]
    this.#inForce.set(value.name, value)
    return [{ type: 'install', value, source }]
  }

  #restoreMissing (name: string): ConfigurationEffect[] {
    const current = this.#newest.get(name)
    return current === undefined ? [] : this.#writeBack(current, 0)
  }

  #writeBack (value: ConfigurationValue, modRevision: number): ConfigurationEffect[] {
    if (this.#writingBack.has(value.name)) return []
    this.#writingBack.add(value.name)
    return [{ type: 'write_back', value, modRevision }]
  }
}

const digestOf = (version: ValueVersion | undefined): number =>
  version === undefined ? 0 : hashText(`${version.name}\n${version.revision}\n${version.edit}`)
