/** The operators' configuration in the key-value service. */
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

/** Values that are read with one call. */
const PAGE_SIZE = 50

/** Everything that the store holds of the configuration. */
export interface StoredConfiguration {
  /** Store revision of the first page; a watch starts behind it. */
  readonly revision: number
  readonly values: readonly StoredValue[]
}

/** Receives changes of the stored configuration. */
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

  /** @returns every value, read in pages */
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
   * Reads one value as of now. A transaction is used, since a plain read may be served from an older state.
   *
   * @param name - the value's name
   * @returns the stored value; null where there is none
   */
  async read (name: string): Promise<Result<StoredValue | null, CallFailure>> {
    const result = await this.#keyValue.transact({ compare: [], success: [{ type: 'range', query: { key: keyOfValue(name) } }], failure: [] })
    if (!result.ok) return result
    const [answer] = result.value.answers
    const found = answer?.type === 'range' ? answer.values[0] : undefined
    return success(found === undefined ? null : decodeEntry(found))
  }

  /**
   * Writes a value on condition that its key is as it was read.
   *
   * @param value - what to write
   * @param modRevision - the key's revision when read; 0 where it did not exist
   * @returns whether it was written, or what the key holds
   */
  async compareAndSwap (value: ConfigurationValue, modRevision: number): Promise<Result<SwapResult, CallFailure>> {
    return await this.#keyValue.compareAndSwap(keyOfValue(value.name), modRevision, encodeConfigurationValue(value))
  }

  /**
   * Makes an edit.
   *
   * @param request - what the operator wants
   * @param wallTime - milliseconds since the epoch
   * @returns how it ended
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
   * Reports changes until it is disposed of or breaks.
   *
   * @param startRevision - first store revision of interest
   * @param listener - receives the changes
   * @returns the handle that ends it
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
    const answer = await this.compareAndSwap(effect.value, effect.modRevision)
    if (!answer.ok) return failureToEditEvent(answer.failure)
    if (answer.value.swapped) return { type: 'swapped' }
    const { current } = answer.value
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
