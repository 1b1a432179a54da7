/** Reads, edits and watches the operators' configuration in the key-value service. */
import { ConfigurationEdit } from '@bluebellhill/domain'
import { setTimeout as sleep } from 'node:timers/promises'

import { CONFIGURATION_PREFIX, keyOfValue, valueNameOfKey } from './valueNames.js'
import { decodeConfigurationValue, encodeConfigurationValue } from './storedValue.js'
import { success } from '../result.js'
import type { CallFailure } from '../errors.js'
import type { ConfigurationValue, EditEffect, EditEvent, EditOutcome, EditRequest, StoredValue } from '@bluebellhill/domain'
import type { KeyValue, WatchedChange } from '../keyValue/types.js'
import type { KeyValueService, SwapResult, Watch } from '../keyValue/KeyValueService.js'
import type { Result } from '../result.js'

/** Number of configuration values read with one call. */
const PAGE_SIZE = 50

/** All configuration values in the key-value service. */
export interface StoredConfiguration {
  /** Store revision at which the first page was read. A watch has to start at the next revision. */
  readonly revision: number
  readonly values: readonly StoredValue[]
}

/** Callbacks of a watch on the stored configuration. */
export interface ConfigurationListener {
  opened (): void
  changed (stored: StoredValue): void
  deleted (name: string): void
  closed (failure: CallFailure): void
}

export class ConfigurationStore {
  readonly #keyValue: KeyValueService

  /** @param keyValue - the platform's key-value service */
  constructor (keyValue: KeyValueService) {
    this.#keyValue = keyValue
  }

  /** @returns all configuration values; they are read in pages, so later pages may be of a later revision */
  async readAll (): Promise<Result<StoredConfiguration, CallFailure>> {
    const values: StoredValue[] = []
    let revision: number | null = null
    let after: string | undefined
    for (;;) {
      const page = await this.#keyValue.range({ key: CONFIGURATION_PREFIX, prefix: true, after, limit: PAGE_SIZE })
      if (!page.ok) return page
      revision ??= page.value.revision
      values.push(...page.value.values.map(decodeEntry))
      after = page.value.values.at(-1)?.key
      if (!page.value.more || after === undefined) return success({ revision, values })
    }
  }

  /**
   * Reads the latest revision of one value. It uses a transaction because a plain range read may return an older state.
   *
   * @param name - the value's name
   * @returns the stored value; null if the key does not exist
   */
  async read (name: string): Promise<Result<StoredValue | null, CallFailure>> {
    const result = await this.#keyValue.transact({ compare: [], success: [{ type: 'range', query: { key: keyOfValue(name) } }], failure: [] })
    if (!result.ok) return result
    const [answer] = result.value.answers
    const found = answer?.type === 'range' ? answer.values[0] : undefined
    return success(found === undefined ? null : decodeEntry(found))
  }

  /**
   * Writes a value if its key has not changed since it was read.
   *
   * @param value - new value
   * @param modRevision - revision of the key when it was read; 0 if the key did not exist
   * @returns whether the value was written; if not, the current entry of the key
   */
  async compareAndSwap (value: ConfigurationValue, modRevision: number): Promise<Result<SwapResult, CallFailure>> {
    return await this.#keyValue.compareAndSwap(keyOfValue(value.name), modRevision, encodeConfigurationValue(value))
  }

  /**
   * Runs an operator's edit: executes the reads and writes that `ConfigurationEdit` requests, each after its delay.
   *
   * @param request - the edit
   * @param wallTime - milliseconds since the epoch
   * @returns the outcome of the edit
   */
  async edit (request: EditRequest, wallTime: number): Promise<EditOutcome> {
    const edit = new ConfigurationEdit(request, wallTime)
    let effect = edit.start()
    while (effect.type !== 'finish') {
      await sleep(effect.after)
      effect = edit.handle(await this.#runEffect(effect, request.name))
    }
    return effect.outcome
  }

  /**
   * Watches all configuration values until the watch is disposed or fails.
   *
   * @param startRevision - first store revision whose changes are reported
   * @param listener - receives the changes
   * @returns handle that stops the watch
   */
  watch (startRevision: number, listener: ConfigurationListener): Watch {
    return this.#keyValue.watch({ key: CONFIGURATION_PREFIX, prefix: true, startRevision }, {
      opened: () => listener.opened(),
      changed: (_revision, changes) => changes.forEach((change) => notifyListener(change, listener)),
      closed: (failure) => listener.closed(failure)
    })
  }

  async #runEffect (effect: Exclude<EditEffect, { type: 'finish' }>, name: string): Promise<EditEvent> {
    if (effect.type === 'read') {
      const stored = await this.read(name)
      return stored.ok ? { type: 'read', stored: stored.value } : { type: 'not_run', reason: stored.failure.reason }
    }
    const result = await this.compareAndSwap(effect.value, effect.modRevision)
    if (!result.ok) return failureToEditEvent(result.failure)
    if (result.value.swapped) return { type: 'swapped' }
    const { current } = result.value
    return { type: 'changed', stored: current === null ? null : decodeEntry(current) }
  }
}

const failureToEditEvent = (failure: CallFailure): EditEvent =>
  failure.type === 'not_sent' || failure.type === 'not_started'
    ? { type: 'not_run', reason: failure.reason }
    : { type: 'answer_lost', reason: failure.reason }

const decodeEntry = (entry: KeyValue): StoredValue => {
  const name = valueNameOfKey(entry.key)
  const value = decodeConfigurationValue(entry.value)
  return { name, modRevision: entry.modRevision, value: value?.name === name ? value : null }
}

const notifyListener = (change: WatchedChange, listener: ConfigurationListener): void => {
  if (change.type === 'put') listener.changed(decodeEntry(change.value))
  else listener.deleted(valueNameOfKey(change.key))
}
