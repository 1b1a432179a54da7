/** Follows the operator's configuration and the list of backend servers in the platform's store. */
import { setTimeout as sleep } from 'node:timers/promises'

import type { Millis } from '@bluebellhill/domain'
import { parseDeployment, parseServerEntry, serverOfKey, StoreKey } from '@bluebellhill/platform'
import type { MetadataStore, StoreChange, StoreItem } from '@bluebellhill/platform'
import { describeFailure } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { Knowledge } from '../Knowledge.js'
import type { Log } from '../../log/index.js'
import type { StoreContact } from './StoreContact.js'

/** How long one watch waits for a change: also the time after which a silent connection is noticed. */
const WATCH_WAIT: Millis = 5_000

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

/** Keeps the node's knowledge current as long as the store answers. */
export class StoreFollower {
  readonly #stop = new AbortController()

  /**
   * @param store - the platform's store
   * @param knowledge - kept current
   * @param contact - told which calls succeed
   * @param log - gets a line for each entry that cannot be used
   */
  constructor (
    private readonly store: MetadataStore,
    private readonly knowledge: Knowledge,
    private readonly contact: StoreContact,
    private readonly log: Log
  ) {}

  /** Starts to follow. */
  start (): void {
    for (const subject of [this.#configuration(), this.#servers()]) void this.#follow(subject)
  }

  /** Ends all waiting calls. */
  dispose (): void {
    this.#stop.abort()
  }

  #configuration (): Subject {
    const take = (key: string, value: Buffer, revision: number): void => {
      const deployment = key === StoreKey.Configuration ? parseDeployment(value.toString('utf8')) : null
      if (deployment?.ok === true) this.knowledge.install(deployment.value, 'store')
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
        this.knowledge.replaceServers(listed, revision, 'store')
      },
      changed: ({ key, value, revision }) => {
        const server = value === null ? null : parsed({ key, value, revision })
        if (server?.ok === true) this.knowledge.putServer({ server: server.value, revision }, 'store')
        else this.knowledge.removeServer(serverOfKey(key), revision, 'store')
      }
    }
  }

  /** Lists a prefix, then watches it; after a failure, from where it stopped, or with a new listing. */
  async #follow (subject: Subject): Promise<void> {
    let revision: number | null = null
    let delay = FIRST_RETRY_DELAY
    while (!this.#stop.signal.aborted) {
      const next: Result<number, CallFailure> = revision === null ? await this.#list(subject) : await this.#watch(subject, revision)
      if (this.#stop.signal.aborted) return
      this.contact.observe(next)
      if (next.ok) {
        revision = next.value
        delay = FIRST_RETRY_DELAY
        continue
      }
      if (next.failure.type === 'rejected' && next.failure.status === GONE) {
        this.log.info('store.history_lost', { prefix: subject.prefix, revision: revision ?? 0 })
        revision = null
        continue
      }
      await sleep(delay * (0.5 + Math.random()))
      delay = Math.min(LONGEST_RETRY_DELAY, 2 * delay)
    }
  }

  async #list ({ prefix, listed }: Subject): Promise<Result<number, CallFailure>> {
    const items: StoreItem[] = []
    let first: number | null = null
    for (let after = ''; ;) {
      const page = await this.store.range(prefix, after)
      if (!page.ok) return page
      items.push(...page.value.items)
      // Pages are of different revisions: what changed since the first is watched again.
      first ??= page.value.revision
      after = page.value.items.at(-1)?.key ?? ''
      if (!page.value.hasMore || after === '') break
    }
    listed(items, first)
    return { ok: true, value: first }
  }

  async #watch ({ prefix, changed }: Subject, revision: number): Promise<Result<number, CallFailure>> {
    const seen = await this.store.watch(prefix, revision, WATCH_WAIT, this.#stop.signal)
    if (!seen.ok) return seen
    for (const change of seen.value.changes) changed(change)
    return { ok: true, value: seen.value.revision }
  }

  #unusable (key: string, revision: number, failure: CallFailure): void {
    this.log.warn('store.entry_unusable', { key, revision, reason: describeFailure(failure) })
  }
}
