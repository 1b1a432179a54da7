/** Keeps the configuration, the evacuations and the list of backend servers in sync with the platform's store. */
import { setTimeout as sleep } from 'node:timers/promises'

import { describeRevision, eraOf, MAX_ANSWER_DELAY, WatchedRevisions } from '@bluebellhill/domain'
import type { EvacuationWrite, Millis, StoreRevision } from '@bluebellhill/domain'
import { evacuationOfKey, hasMalformedWarmUp, parseDeployment, parseServerEntry, serverIdOfKey, StoreKey } from '@bluebellhill/platform'
import type { MetadataStore, StoreChange, StoreItem } from '@bluebellhill/platform'
import { describeFailure } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { FleetState } from '../FleetState.js'
import { waitingInputRead } from '../../clock/inputTurn.js'
import { ErrorScope, StateHop } from '../ForwardMetrics.js'
import type { ForwardMetrics } from '../ForwardMetrics.js'
import { errorText } from '../../log/index.js'
import type { Log } from '../../log/index.js'
import { callFirst } from './callUntilAnswered.js'
import type { StoreAvailability } from './StoreAvailability.js'
import { PROBE_TIMEOUT } from './StoreProbe.js'

/** How long a watch waits for a change; a connection without data is detected after the same time. */
const WATCH_WAIT: Millis = 5_000

/** Pause after a change, so that one call returns several changes, and after a watch that has ended early without any. */
const PAUSE_AFTER_CHANGES: Millis = 100

/**
 * How long a watch waits that follows a failed call, or one whose answer may have been lost. The store may have been restored meanwhile,
 * and a watch from a revision that it has given out again would not tell so before its end.
 */
const WAIT_AFTER_FAILURE: Millis = 1

/** Interval at which a node that does not watch the store checks whether it has to. */
const ROLE_CHECK_PERIOD: Millis = 100

/** Wait of a watch whose purpose is to find out whether the store still answers. */
const STORE_CHECK_WAIT: Millis = 1_000

/** Time after the start of a store check in which watches are short, and in which no further check starts. */
const STORE_CHECK_PERIOD: Millis = 2_000

/**
 * Delay before a failed call is repeated; it doubles up to the maximum. A listing after a lost history is begun at once, and so delayed only
 * if no watch has been answered since the one before.
 */
const FIRST_RETRY_DELAY: Millis = 100
const MAX_RETRY_DELAY: Millis = 800

const GONE = 410

/** A prefix of the store's keys, and the callbacks that apply its items. */
interface SyncedPrefix {
  readonly prefix: string
  /** Applies a complete listing. */
  readonly onListed: (items: readonly StoreItem[], revision: StoreRevision) => void
  readonly onChanged: (change: StoreChange) => void
  /** Called after an answer has been applied, with the revision up to which it goes. */
  readonly onApplied?: (revision: StoreRevision) => void
}

/** Result of a listing or of a watch. */
interface SyncProgress {
  /** Revision to watch from; null if the items have to be listed again. */
  readonly revision: StoreRevision | null
  /** Revisions of the changes in the answer of a watch. */
  readonly changes: readonly StoreRevision[]
  /** Whether a watch has ended without a change, and long before it had to. */
  readonly isEarly?: boolean
}

export interface StoreSyncOptions {
  readonly store: MetadataStore
  /** Receives the configuration and the backend servers. */
  readonly fleetState: FleetState
  /** Records which calls succeed. */
  readonly availability: StoreAvailability
  readonly metrics: ForwardMetrics
  /** Receives a line for each entry that cannot be parsed. */
  readonly log: Log
  readonly clock: () => Millis
  /** Returns whether this node watches the store; otherwise other nodes inform it of changes. */
  readonly isStoreWatcher: () => boolean
  /** Called after a listing has been applied. */
  readonly onListed?: (prefix: string, entries: number) => void
}

/** Keeps the fleet state of this node current as long as the store answers. */
export class StoreSync {
  readonly #options: StoreSyncOptions
  /** Ends the wait in progress of each prefix. */
  readonly #interruptions = new Map<string, AbortController>()
  /** Prefixes whose last call may have been answered although no answer has arrived. */
  readonly #unanswered = new Set<string>()
  readonly #revisions = new WatchedRevisions()
  #isStopped = false
  /** Compares the watches again with the revision that the store has stated. */
  #comparison: NodeJS.Timeout | null = null
  #checkStartedAt: Millis = -Infinity

  /** @param options - the store, and the fleet state to update */
  constructor (options: StoreSyncOptions) {
    this.#options = options
  }

  /** Starts to list and watch the configuration and the backend servers. */
  start (): void {
    for (const synced of [this.#operatorPrefix(), this.#serversPrefix()]) void this.#keepSynced(synced)
  }

  /** Ends the waits in progress to check whether the store answers this node, after another node has lost it. */
  checkStore (): void {
    const { clock, availability } = this.#options
    if (availability.isLost || clock() - this.#checkStartedAt < STORE_CHECK_PERIOD) return
    this.#checkStartedAt = clock()
    this.#interrupt()
  }

  /** Ends the waits in progress and repeats the calls, after the store has stopped answering this node. */
  storeSilent (): void {
    this.#interrupt()
  }

  /**
   * Repeats the watches that may have missed a change: at once, or as soon as the answer to one that has not would have arrived.
   *
   * @param revision - revision of the store, as stated by any of its answers
   */
  storeAt (revision: StoreRevision): void {
    if (this.#isStopped) return
    for (const prefix of this.#revisions.storeAt(revision, this.#options.clock())) {
      this.#options.log.info('store.watch_repeated', { prefix, store_revision: describeRevision(revision) })
      this.#unanswered.add(prefix)
      this.#interruptions.get(prefix)?.abort()
    }
    if (this.#revisions.isBehind) this.#compareLater(revision)
  }

  /** A change that arrived while this process was held up is read first. */
  #compareLater (revision: StoreRevision): void {
    this.#comparison ??= setTimeout(() => {
      void waitingInputRead().then(() => {
        this.#comparison = null
        this.storeAt(revision)
      })
    }, MAX_ANSWER_DELAY)
  }

  /** Ends all waiting calls. */
  dispose (): void {
    this.#isStopped = true
    if (this.#comparison !== null) clearTimeout(this.#comparison)
    this.#interrupt()
  }

  #interrupt (): void {
    for (const interruption of this.#interruptions.values()) interruption.abort()
  }

  /** @returns a signal that ends the next call of this prefix, and the pause after it */
  #nextInterruption (prefix: string): AbortSignal {
    const interruption = new AbortController()
    this.#interruptions.set(prefix, interruption)
    return interruption.signal
  }

  #operatorPrefix (): SyncedPrefix {
    const { restrictions } = this.#options.fleetState
    let writes: EvacuationWrite[] = []
    const recordWrite = (key: string, isEvacuated: boolean, revision: StoreRevision): void => {
      const failureDomain = evacuationOfKey(key)
      if (failureDomain === '') this.#entryUnusable(StoreKey.Operator, key, revision, { type: 'malformed', reason: 'the key names no failure domain' })
      else if (failureDomain !== null) writes.push({ failureDomain, isEvacuated, revision })
    }
    const install = (key: string, value: Buffer, revision: StoreRevision): void => {
      const deployment = key === StoreKey.Configuration ? parseDeployment(value.toString('utf8')) : null
      if (deployment?.ok === true) this.#options.fleetState.install(deployment.value, 'store')
      else if (deployment !== null) this.#entryUnusable(StoreKey.Operator, key, revision, deployment.failure)
    }
    return {
      prefix: StoreKey.Operator,
      onListed: (items, revision) => {
        writes = []
        for (const item of items) recordWrite(item.key, true, item.revision)
        restrictions.listed({ failureDomains: writes.map(({ failureDomain }) => failureDomain), revision })
        writes = []
        for (const item of items) install(item.key, item.value, item.revision)
      },
      onChanged: ({ key, value, revision }) => {
        recordWrite(key, value !== null, revision)
        if (value !== null) install(key, value, revision)
      },
      onApplied: (revision) => {
        restrictions.written(writes, revision)
        writes = []
      }
    }
  }

  #serversPrefix (): SyncedPrefix {
    const parse = ({ key, value, revision }: StoreItem): ReturnType<typeof parseServerEntry> => {
      const text = value.toString('utf8')
      const server = parseServerEntry(key, text)
      if (!server.ok) this.#entryUnusable(StoreKey.BackendServers, key, revision, server.failure)
      else if (hasMalformedWarmUp(text)) this.#options.log.warn('server.warmup_unusable', { server: server.value.id, revision: describeRevision(revision) })
      return server
    }
    return {
      prefix: StoreKey.BackendServers,
      onListed: (items, revision) => {
        const listed = items.flatMap((item) => {
          const server = parse(item)
          return server.ok ? [{ server: server.value, revision: item.revision }] : []
        })
        this.#options.fleetState.replaceServers(listed, revision, 'store')
      },
      onChanged: ({ key, value, revision }) => {
        const server = value === null ? null : parse({ key, value, revision })
        if (server?.ok === true) this.#options.fleetState.putServer({ server: server.value, revision }, 'store')
        else this.#options.fleetState.removeServer(serverIdOfKey(key), revision, 'store')
      },
      onApplied: (revision) => this.#options.fleetState.servers.storeAnswered(revision)
    }
  }

  /** An error while an answer is applied ends the watch, and the items are listed again. */
  async #keepSynced (synced: SyncedPrefix): Promise<void> {
    const { log, metrics } = this.#options
    while (!this.#isStopped) {
      try {
        await this.#syncPrefix(synced)
      } catch (error) {
        log.error('store.sync_failed', { prefix: synced.prefix, reason: errorText(error) })
        metrics.errorContained(ErrorScope.Task)
        this.#revisions.ended(synced.prefix)
        await sleep(MAX_RETRY_DELAY)
      }
    }
  }

  /** Lists a prefix, then watches it; after a failure it continues at the last revision, or with a new listing if history is lost. */
  async #syncPrefix (synced: SyncedPrefix): Promise<void> {
    let revision: StoreRevision | null = null
    let delay = FIRST_RETRY_DELAY
    let listingDelay: Millis = 0
    while (!this.#isStopped) {
      if (!this.#options.isStoreWatcher()) {
        if (revision !== null) this.#options.log.info('store.watch_ended', { prefix: synced.prefix, revision: describeRevision(revision) })
        this.#options.availability.watchEnded()
        this.#revisions.ended(synced.prefix)
        revision = null
        await sleep(ROLE_CHECK_PERIOD)
        continue
      }
      const interruption = this.#nextInterruption(synced.prefix)
      const startedAt = this.#options.clock()
      const progress: Result<SyncProgress, CallFailure> = revision === null ? await this.#list(synced) : await this.#watch(synced, revision, interruption)
      if (this.#isStopped) return
      if (progress.ok) {
        this.#recordAnswer(synced, revision, progress.value)
        this.#options.availability.recordResult(progress, startedAt)
        if (revision !== null) listingDelay = 0
        revision = progress.value.revision
        this.#recordRevision(synced, progress.value)
        delay = FIRST_RETRY_DELAY
        if (progress.value.changes.length > 0 || progress.value.isEarly === true) await this.#pauseAfterChanges(interruption)
        continue
      }
      if (interruption.aborted) continue
      this.#unanswered.add(synced.prefix)
      if (isHistoryLost(progress.failure)) {
        this.#options.availability.recordResult(progress, startedAt)
        this.#options.log.info('store.history_lost', { prefix: synced.prefix, revision: describeRevision(revision ?? 0) })
        this.#revisions.ended(synced.prefix)
        revision = null
        await sleep(listingDelay * (0.5 + Math.random()))
        listingDelay = nextDelay(listingDelay)
        continue
      }
      await sleep(delay * (0.5 + Math.random()))
      delay = nextDelay(delay)
    }
  }

  /** Logs how long the store may have had a change before this node, and the start of a watch. */
  #recordAnswer ({ prefix }: SyncedPrefix, watched: StoreRevision | null, { revision, changes }: SyncProgress): void {
    const { availability: { currentSilence }, metrics, log } = this.#options
    if (watched !== null && currentSilence !== null) metrics.stateHopEnded(StateHop.Store, currentSilence)
    const fields = { prefix, revision: revision === null ? undefined : describeRevision(revision), silent_ms: currentSilence === null ? undefined : Math.round(currentSilence) }
    if (watched === null) log.info('store.watch_started', fields)
    else if (changes.length > 0) log.info('store.changed', fields)
  }

  #recordRevision ({ prefix, onApplied }: SyncedPrefix, { revision, changes }: SyncProgress): void {
    if (revision === null) {
      this.#revisions.ended(prefix)
      return
    }
    this.#revisions.answered(prefix, revision, changes)
    onApplied?.(revision)
    this.storeAt(revision)
  }

  async #list ({ prefix, onListed }: SyncedPrefix): Promise<Result<SyncProgress, CallFailure>> {
    const items: StoreItem[] = []
    let firstRevision: StoreRevision | null = null
    this.#unanswered.delete(prefix)
    const { clock, store, fleetState: { routeTable, serversRevision } } = this.#options
    const isStarting = routeTable === null || serversRevision === 0
    let startedAt = clock()
    for await (const page of store.pages(prefix, false, isStarting ? callFirst : undefined)) {
      if (!page.ok) {
        this.#recordFailure(page, startedAt)
        return page
      }
      if (firstRevision !== null && eraOf(page.value.revision) !== eraOf(firstRevision)) return this.#restored(prefix, firstRevision, page.value.revision)
      items.push(...page.value.items)
      // Pages may have different revisions: the watch starts at the first, so that changes between pages are not missed.
      firstRevision ??= page.value.revision
      startedAt = clock()
    }
    if (firstRevision === null) throw new Error('a listing without a page')
    onListed(items, firstRevision)
    this.#options.onListed?.(prefix, items.length)
    return { ok: true, value: { revision: firstRevision, changes: [] } }
  }

  /** The store was restored from a copy: what it reported before does not continue, and all items have to be listed again. */
  #restored (prefix: string, before: StoreRevision, after: StoreRevision): Result<SyncProgress, CallFailure> {
    this.#options.log.warn('store.restored', { prefix, before: describeRevision(before), revision: describeRevision(after) })
    return { ok: true, value: { revision: null, changes: [] } }
  }

  async #watch ({ prefix, onChanged }: SyncedPrefix, revision: StoreRevision, interruption: AbortSignal): Promise<Result<SyncProgress, CallFailure>> {
    const { store, availability, clock } = this.#options
    const startedAt = clock()
    const isUnanswered = this.#unanswered.has(prefix)
    const wait = isUnanswered || availability.isLost ? WAIT_AFTER_FAILURE : this.#watchWait(startedAt)
    const timeout = isUnanswered && !availability.isLost ? PROBE_TIMEOUT : undefined
    const result = await store.watch(prefix, revision, wait, interruption, timeout)
    // A watch that was reported while it waited has to be repeated even if its answer arrives in the end.
    if (result.ok && isUnanswered) this.#unanswered.delete(prefix)
    if (result.ok && eraOf(result.value.revision) !== eraOf(revision)) return this.#restored(prefix, revision, result.value.revision)
    if (result.ok) {
      for (const change of result.value.changes) onChanged(change)
      const isEarly = result.value.changes.length === 0 && clock() - startedAt + PAUSE_AFTER_CHANGES < wait
      return { ok: true, value: { revision: result.value.revision, changes: result.value.changes.map((change) => change.revision), isEarly } }
    }
    const now = clock()
    // If the watch took longer than its wait, the store may have been unavailable since the watch started.
    if (!interruption.aborted && !isHistoryLost(result.failure)) this.#recordFailure(result, startedAt, now - startedAt > wait ? startedAt : now)
    return result
  }

  /** A call that fails after other nodes have taken over is no loss: this node makes no further one that could show the return. */
  #recordFailure (failure: Result<never, CallFailure>, startedAt: Millis, since?: Millis): void {
    if (this.#options.isStoreWatcher()) this.#options.availability.recordResult(failure, startedAt, since)
  }

  #watchWait (now: Millis): Millis {
    if (now - this.#checkStartedAt < STORE_CHECK_PERIOD) return STORE_CHECK_WAIT
    return WATCH_WAIT
  }

  async #pauseAfterChanges (interruption: AbortSignal): Promise<void> {
    await sleep(PAUSE_AFTER_CHANGES, undefined, { signal: interruption }).catch((error: unknown) => {
      if (!interruption.aborted) throw error
    })
  }

  #entryUnusable (prefix: string, key: string, revision: StoreRevision, failure: CallFailure): void {
    this.#options.metrics.storeEntryUnusable(prefix)
    this.#options.log.warn('store.entry_unusable', { key, revision: describeRevision(revision), reason: describeFailure(failure) })
  }
}

const isHistoryLost = (failure: CallFailure): boolean => failure.type === 'rejected' && failure.status === GONE

const nextDelay = (delay: Millis): Millis => Math.min(MAX_RETRY_DELAY, Math.max(FIRST_RETRY_DELAY, 2 * delay))
