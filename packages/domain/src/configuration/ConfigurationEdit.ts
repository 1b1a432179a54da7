/** Applies one operator's edit of one configuration value by compare-and-swap. */
import { assertNever } from '../types.js'
import { MAX_EDIT_ATTEMPTS, EDIT_FIRST_DELAY_MS, EDIT_MAX_DELAY_MS } from './constants.js'
import { historyAfter, includesEdit, nextRevision } from './versions.js'
import type { ConfigurationValue, EditId, StoredValue } from './types.js'
import type { Millis } from '../types.js'

/** An edit that an operator requests. */
export interface EditRequest {
  readonly name: string
  readonly edit: EditId
  readonly author: string
  /** New text; null removes the value. */
  readonly text: string | null
  /** Revision on which the edit is based; 0 if there was no value, null to accept any revision. */
  readonly expected: number | null
  /** Greatest revision that any asked node has in force; 0 if no node was asked. */
  readonly minRevision: number
}

export type EditEvent =
  /** The value was read; `stored` is null if there is none. */
  | { readonly type: 'read', readonly stored: StoredValue | null }
  /** The read or the swap did not take place. */
  | { readonly type: 'not_run', readonly reason: string }
  | { readonly type: 'swapped' }
  /** The swap failed, because the key had changed; `stored` is its current value. */
  | { readonly type: 'changed', readonly stored: StoredValue | null }
  /** It is unknown whether the swap took place. */
  | { readonly type: 'answer_lost', readonly reason: string }

export type EditOutcome =
  /** `settled` is true if the answer to an earlier swap was lost; `superseded` is a later value that includes the edit, or null. */
  | { readonly type: 'accepted', readonly value: ConfigurationValue, readonly settled: boolean, readonly superseded: ConfigurationValue | null }
  /** Another edit won, or the value was not the expected one; `current` is null if there is no value. */
  | { readonly type: 'lost', readonly current: ConfigurationValue | null }
  | { readonly type: 'unchanged', readonly value: ConfigurationValue }
  /** Nothing was written. */
  | { readonly type: 'unavailable', readonly reason: string }
  /** The edit may or may not be in force. */
  | { readonly type: 'unknown', readonly reason: string }

export type EditEffect =
  | { readonly type: 'read', readonly after: Millis }
  /** Writes the value if the key's revision is still this one. */
  | { readonly type: 'swap', readonly value: ConfigurationValue, readonly modRevision: number, readonly after: Millis }
  | { readonly type: 'finish', readonly outcome: EditOutcome }

/**
 * State machine of one edit. A swap whose answer is lost is repeated unchanged: its condition cannot hold twice, so the swap
 * takes effect at most once.
 */
export class ConfigurationEdit {
  readonly #request: EditRequest
  readonly #wallTime: number
  #pendingSwap: { readonly value: ConfigurationValue, readonly modRevision: number } | null = null
  #attempts = 0
  #hasLostAnswer = false

  /**
   * @param request - requested edit
   * @param wallTime - time of the edit, in milliseconds since the epoch
   */
  constructor (request: EditRequest, wallTime: number) {
    this.#request = request
    this.#wallTime = wallTime
  }

  /** @returns the first step */
  start (): EditEffect {
    return { type: 'read', after: 0 }
  }

  /**
   * Handles the answer to the last step.
   *
   * @param event - the answer
   * @returns the next step
   */
  handle (event: EditEvent): EditEffect {
    switch (event.type) {
      case 'read':
        return this.#prepareSwap(event.stored)
      case 'not_run':
        return this.#retry(event.reason)
      case 'answer_lost':
        this.#hasLostAnswer ||= this.#pendingSwap !== null
        return this.#retry(event.reason)
      case 'swapped':
        return this.#finishAccepted(null)
      case 'changed':
        return this.#resolveConflict(event.stored?.value ?? null)
      default:
        return assertNever(event)
    }
  }

  #prepareSwap (stored: StoredValue | null): EditEffect {
    const current = stored?.value ?? null
    const { name, edit, author, text, expected, minRevision } = this.#request
    if (expected !== null && (current?.revision ?? 0) !== expected) return finish({ type: 'lost', current })
    if (current !== null && isSame(current, text)) return finish({ type: 'unchanged', value: current })
    const base = current === null || current.revision >= minRevision ? current : { ...current, revision: minRevision }
    const value: ConfigurationValue = {
      name,
      revision: nextRevision(base ?? { revision: minRevision }, this.#wallTime),
      edit,
      author,
      editedAt: this.#wallTime,
      removed: text === null,
      text: text ?? '',
      history: historyAfter(current)
    }
    this.#pendingSwap = { value, modRevision: stored?.modRevision ?? 0 }
    return { type: 'swap', ...this.#pendingSwap, after: 0 }
  }

  #retry (reason: string): EditEffect {
    this.#attempts += 1
    if (this.#attempts >= MAX_EDIT_ATTEMPTS) return finish(this.#hasLostAnswer ? { type: 'unknown', reason } : { type: 'unavailable', reason })
    const after = Math.min(EDIT_MAX_DELAY_MS, EDIT_FIRST_DELAY_MS * 2 ** (this.#attempts - 1))
    return this.#pendingSwap === null ? { type: 'read', after } : { type: 'swap', ...this.#pendingSwap, after }
  }

  #resolveConflict (current: ConfigurationValue | null): EditEffect {
    const { edit } = this.#request
    if (current !== null && includesEdit(current, edit)) return this.#finishAccepted(current.edit === edit ? null : current)
    return finish({ type: 'lost', current })
  }

  #finishAccepted (superseded: ConfigurationValue | null): EditEffect {
    return finish({ type: 'accepted', value: this.#pendingSwap!.value, settled: this.#hasLostAnswer, superseded })
  }
}

const finish = (outcome: EditOutcome): EditEffect => ({ type: 'finish', outcome })

const isSame = (current: ConfigurationValue, text: string | null): boolean =>
  text === null ? current.removed : !current.removed && current.text === text
