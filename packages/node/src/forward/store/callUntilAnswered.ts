/** Repeats a call that stays unanswered without giving up the earlier ones, so that an answer that takes long still counts. */
import { setTimeout as sleep } from 'node:timers/promises'

import type { Millis } from '@bluebellhill/domain'
import type { PageCall } from '@bluebellhill/platform'
import type { CallFailure, Result } from '@bluebellhill/services'

/** When a call is repeated and given up. */
export interface RepeatTiming {
  /** Time without an answer after which the call is made once more. */
  readonly repeatDelay: Millis
  /** Maximum number of calls. */
  readonly calls: number
  /** Time after the first call at which all of them are given up. */
  readonly timeout: Millis
}

/**
 * Listings of a node that starts, which can do little before they are answered: a store that all nodes list as they start may be slow, and the
 * answer to a call that was given up would be lost. They are made no more often than other failed calls are repeated.
 */
const FIRST_LISTING: RepeatTiming = { repeatDelay: 1_000, calls: 3, timeout: 4_000 }

/**
 * Makes a call, and makes it again as long as no one has been answered or has failed.
 *
 * @param call - makes the call with a timeout; it must be safe to make it several times
 * @param timing - when it is repeated and given up
 * @returns result of the first call that was answered or has failed
 */
export const callUntilAnswered = async <Value>(call: (timeout: Millis) => Promise<Result<Value, CallFailure>>, { repeatDelay, calls, timeout }: RepeatTiming): Promise<Result<Value, CallFailure>> => {
  const open: Array<Promise<Result<Value, CallFailure>>> = []
  for (let made = 0; made < calls; made += 1) {
    open.push(call(timeout - made * repeatDelay))
    const ended = new AbortController()
    const first = await Promise.race([...open, sleep(repeatDelay, null, { signal: ended.signal }).catch(() => null)])
    ended.abort()
    if (first !== null) return first
  }
  return await Promise.race(open)
}

/** Reads a page of the first listing of a node that starts. */
export const callFirst: PageCall = async (read) => await callUntilAnswered(read, FIRST_LISTING)
