/** Follows the operator's configuration and the list of backend servers in the platform's store. */
import { setTimeout as sleep } from 'node:timers/promises'

import type { Millis } from '@bluebellhill/domain'
import { parseDeployment, parseServerEntry, serverIdOfKey, StoreKey } from '@bluebellhill/platform'
import type { MetadataStore, StoreChange, StoreItem } from '@bluebellhill/platform'
import { describeFailure } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { Knowledge } from '../Knowledge.js'
import type { Log } from '../../log/index.js'
import type { StoreContact } from './StoreContact.js'

/** How long a watch of a close follower waits for a change: also the time after which a silent connection is noticed. */
const CLOSE_WAIT: Millis = 5_000

/** How long a watch of another node waits: it hears of changes and of losses from the close followers. */
const DISTANT_WAIT: Millis = 20_000

/** Pause of a close follower after a change, so that several changes come together. */
const CLOSE_PAUSE: Millis = 100

/** Pause of another node after a change, so that a series of changes costs it few calls. */
const DISTANT_PAUSE: Millis = 2_500

/** How long a watch waits that finds out whether the store still answers. */
const DOUBT_WAIT: Millis = 1_000

/** Time for which a doubt lasts; further ones are ignored in it. */
const DOUBT_PERIOD: Millis = 2_000

/** Pause before a call that failed is made again; it doubles up to the longest. */
const FIRST_RETRY_DELAY: Millis = 100
const LONGEST_RETRY_DELAY: Millis = 800

const GONE = 410

/** What is done with the items under one prefix. */
interface Subject {
  readonly prefix: string
  /** Takes a full listing in. */
  readonly listed: (items: readonly StoreItem[], revision: number) => void
  readonly changed: (change: StoreChange) => void
}

/** How far a prefix has been followed. */
interface Progress {
  readonly revision: number
  readonly changed: boolean
}

export interface StoreFollowerOptions {
  readonly store: MetadataStore
  /** Kept current. */
  readonly knowledge: Knowledge
  /** Told which calls succeed. */
  readonly contact: StoreContact
  /** Gets a line for each entry that cannot be used. */
  readonly log: Log
  readonly clock: () => Millis
  /** Whether other nodes rely on this one to learn of changes at once. */
  readonly isClose: () => boolean
}

/** Keeps the node's knowledge current as long as the store answers. */
export class StoreFollower {
  readonly #options: StoreFollowerOptions
  /** Ends the waits in progress: for a doubt, or for good. */
  #interruption = new AbortController()
  #stopped = false
  #doubtedAt: Millis = -Infinity

  /** @param options - the store, and what is kept current */
  constructor (options: StoreFollowerOptions) {
    this.#options = options
  }

  /** Starts to follow. */
  start (): void {
    for (const subject of [this.#configuration(), this.#servers()]) void this.#follow(subject)
  }

  /** Another node has lost the store: ends the waits, to see whether this node has lost it too. */
  doubt (): void {
    const { clock, contact } = this.#options
    if (contact.isLost || clock() - this.#doubtedAt < DOUBT_PERIOD) return
    this.#doubtedAt = clock()
    this.#interrupt()
  }

  /** Ends all waiting calls. */
  dispose (): void {
    this.#stopped = true
    this.#interrupt()
  }

  #interrupt (): void {
    const ended = this.#interruption
    this.#interruption = new AbortController()
    ended.abort()
  }

  #configuration (): Subject {
    const take = (key: string, value: Buffer, revision: number): void => {
      const deployment = key === StoreKey.Configuration ? parseDeployment(value.toString('utf8')) : null
      if (deployment?.ok === true) this.#options.knowledge.install(deployment.value, 'store')
      else if (deployment !== null) this.#unusable(key, revision, deployment.failure)
    }
    return {
      prefix: StoreKey.Configuration,
      listed: (items) => { for (const { key, value, revision } of items) take(key, value, revision) },
      changed: ({ key, value, revision }) => { if (value !== null) take(key, value, revision) }
    }
  }

  #servers (): Subject {
    const parsed = ({ key, value, revision }: StoreItem): ReturnType<typeof parseServerEntry> => {
      const server = parseServerEntry(key, value.toString('utf8'))
      if (!server.ok) this.#unusable(key, revision, server.failure)
      return server
    }
    return {
      prefix: StoreKey.BackendServers,
      listed: (items, revision) => {
        const listed = items.flatMap((item) => {
          const server = parsed(item)
          return server.ok ? [{ server: server.value, revision: item.revision }] : []
        })
        this.#options.knowledge.replaceServers(listed, revision, 'store')
      },
      changed: ({ key, value, revision }) => {
        const server = value === null ? null : parsed({ key, value, revision })
        if (server?.ok === true) this.#options.knowledge.putServer({ server: server.value, revision }, 'store')
        else this.#options.knowledge.removeServer(serverIdOfKey(key), revision, 'store')
      }
    }
  }

  /** Lists a prefix, then watches it; after a failure, from where it stopped, or with a new listing. */
  async #follow (subject: Subject): Promise<void> {
    let revision: number | null = null
    let delay = FIRST_RETRY_DELAY
    while (!this.#stopped) {
      const interruption = this.#interruption.signal
      const next: Result<Progress, CallFailure> = revision === null ? await this.#list(subject) : await this.#watch(subject, revision, interruption)
      if (this.#stopped) return
      if (next.ok) {
        this.#options.contact.observe(next)
        revision = next.value.revision
        delay = FIRST_RETRY_DELAY
        if (next.value.changed) await this.#rest(this.#options.isClose() ? CLOSE_PAUSE : DISTANT_PAUSE, interruption)
        continue
      }
      if (interruption.aborted) continue
      if (isGone(next.failure)) {
        this.#options.contact.observe(next)
        this.#options.log.info('store.history_lost', { prefix: subject.prefix, revision: revision ?? 0 })
        revision = null
        continue
      }
      await sleep(delay * (0.5 + Math.random()))
      delay = Math.min(LONGEST_RETRY_DELAY, 2 * delay)
    }
  }

  async #list ({ prefix, listed }: Subject): Promise<Result<Progress, CallFailure>> {
    const items: StoreItem[] = []
    let first: number | null = null
    for (let after = ''; ;) {
      const page = await this.#options.store.range(prefix, after)
      if (!page.ok) {
        this.#options.contact.observe(page)
        return page
      }
      items.push(...page.value.items)
      // Pages are of different revisions: what changed since the first is watched again.
      first ??= page.value.revision
      after = page.value.items.at(-1)?.key ?? ''
      if (!page.value.hasMore || after === '') break
    }
    listed(items, first)
    return { ok: true, value: { revision: first, changed: false } }
  }

  async #watch ({ prefix, changed }: Subject, revision: number, interruption: AbortSignal): Promise<Result<Progress, CallFailure>> {
    const { store, contact, clock } = this.#options
    const startedAt = clock()
    const wait = this.#watchWait(startedAt)
    const seen = await store.watch(prefix, revision, wait, interruption)
    if (seen.ok) {
      for (const change of seen.value.changes) changed(change)
      return { ok: true, value: { revision: seen.value.revision, changed: seen.value.changes.length > 0 } }
    }
    const now = clock()
    // A watch that outlasted its wait says that the store may have been away all the time.
    if (!interruption.aborted && !isGone(seen.failure)) contact.observe(seen, now - startedAt > wait ? startedAt : now)
    return seen
  }

  #watchWait (now: Millis): Millis {
    if (now - this.#doubtedAt < DOUBT_PERIOD) return DOUBT_WAIT
    return this.#options.isClose() ? CLOSE_WAIT : DISTANT_WAIT
  }

  async #rest (pause: Millis, interruption: AbortSignal): Promise<void> {
    await sleep(pause, undefined, { signal: interruption }).catch((error: unknown) => {
      if (!interruption.aborted) throw error
    })
  }

  #unusable (key: string, revision: number, failure: CallFailure): void {
    this.#options.log.warn('store.entry_unusable', { key, revision, reason: describeFailure(failure) })
  }
}

const isGone = (failure: CallFailure): boolean => failure.type === 'rejected' && failure.status === GONE
