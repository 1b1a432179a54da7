/** Tells from the attempts of this node which backend servers have crashed, and which requests may have caused it. */
import { MIN_RESTART_TIME, provesSurvival } from '@bluebellhill/domain'
import type { BackendServer, CrashReport, Millis, NodeId, PromptPart, RunnerId, ServerSurvival, Suspect } from '@bluebellhill/domain'

import { CONNECT_TIMEOUT } from '../backend/constants.js'

/** Time for which a connection that is older than the report has to stay open: its last bytes may have waited in this process. */
const SURVIVAL_CONFIRMATION: Millis = 100

/** Hold-up of this process from which on it may have read the end of a connection when the server was back already. */
const LONG_HOLD_UP: Millis = MIN_RESTART_TIME / 2

/** Time after which a reported crash can no longer be refuted by data. */
const CRASH_RETENTION: Millis = 60_000

/** An attempt that has been sent and has not ended. */
export interface WatchedAttempt {
  readonly request: string
  readonly server: BackendServer
  /** Parts of its prompt, in order. */
  readonly parts: readonly PromptPart[]
  /** Returns the suspect that stands for the request whenever it comes; computed only when there is a crash. */
  readonly identity: () => Suspect
  readonly sentAt: Millis
  /** Whether its answer has gone beyond the point at which the request would crash the server. */
  isSound: boolean
}

export interface ServerWatchOptions {
  readonly node: NodeId
  readonly clock: () => Millis
  /** Clock that stands still while this process is held up. */
  readonly runningClock: () => Millis
  /** Returns whether a server has announced that it will end. */
  readonly isLeaving: (server: BackendServer) => boolean
  /** Called with each crash and the requests that may have caused it. */
  readonly onCrash: (report: CrashReport, requests: readonly string[]) => void
  readonly onSurvival: (survival: ServerSurvival) => void
  /** Called with each attempt that has proved sound. */
  readonly onSound: (attempt: WatchedAttempt) => void
  /** Returns what a crash report says of the requests that may have caused the crash, from the parts of each and the requests themselves. */
  readonly suspectsOf: (prompts: ReadonlyArray<readonly PromptPart[]>, requests: readonly Suspect[]) => Pick<CrashReport, 'suspects' | 'parts'>
}

type ServerStart = Pick<ServerSurvival, 'server' | 'startedAt'>

/** A reported crash that data may still refute. */
interface SuspectedCrash {
  readonly at: Millis
  /** Attempts of this node that the report covers; null if another node has reported it. */
  readonly covered: ReadonlySet<WatchedAttempt> | null
  /** Whether this process was held up while attempts that it covers were in progress, so that the server may have ended long before. */
  readonly isNoticedLate: boolean
  isBeingConfirmed: boolean
}

/** Open attempts of this node by backend server and its start time. */
export class ServerWatch {
  readonly #options: ServerWatchOptions
  readonly #open = new Map<string, Set<WatchedAttempt>>()
  readonly #crashes = new Map<string, SuspectedCrash>()
  /** Time for which this process had been held up when each attempt was sent. */
  readonly #heldUpBefore = new WeakMap<WatchedAttempt, Millis>()

  /** @param options - this node, and who is told of what it sees */
  constructor (options: ServerWatchOptions) {
    this.#options = options
  }

  /** @param attempt - an attempt whose request is being sent */
  sent (attempt: WatchedAttempt): void {
    const key = keyOf(attempt.server.id, attempt.server.startedAt)
    this.#heldUpBefore.set(attempt, this.#heldUpFor)
    const open = this.#open.get(key)
    if (open === undefined) this.#open.set(key, new Set([attempt]))
    else open.add(attempt)
  }

  /** @param attempt - an attempt whose server has sent bytes of its own answer */
  dataReceived (attempt: WatchedAttempt): void {
    if (this.#crashes.size === 0) return
    const { id, startedAt } = attempt.server
    for (const start of new Set([startedAt, null])) this.#dataReceived(attempt, { server: id, startedAt: start })
  }

  /** @param attempt - an attempt whose answer is complete, or has gone beyond its first event */
  provedSound (attempt: WatchedAttempt): void {
    if (attempt.isSound) return
    attempt.isSound = true
    this.#options.onSound(attempt)
  }

  /**
   * Reports that the server has crashed, unless an earlier report covers the attempt or the server has announced its end.
   *
   * @param attempt - an open attempt whose connection was reset or closed before its answer was complete
   */
  brokenOff (attempt: WatchedAttempt): void {
    const { id, service } = attempt.server
    const key = keyOf(id, attempt.server.startedAt)
    const startedAt = this.#startOf(attempt)
    if (this.#coversAny(id, [attempt.server.startedAt, startedAt], attempt) || this.#options.isLeaving(attempt.server)) return
    const covered = new Set([...this.#open.get(key) ?? [], attempt])
    const suspects = [...covered].filter(({ isSound }) => !isSound)
    const report: CrashReport = {
      server: id,
      startedAt,
      service,
      reportedBy: this.#options.node,
      at: this.#options.clock(),
      ...this.#options.suspectsOf(suspects.map(({ parts }) => parts), suspects.map(({ identity }) => identity()))
    }
    const isNoticedLate = [...covered].some((each) => this.#heldUpFor - (this.#heldUpBefore.get(each) ?? 0) >= LONG_HOLD_UP)
    this.#keep(keyOf(id, startedAt), { at: report.at, covered, isNoticedLate, isBeingConfirmed: false })
    this.#options.onCrash(report, suspects.map(({ request }) => request))
  }

  /** @param attempt - an attempt that has ended in any way */
  ended (attempt: WatchedAttempt): void {
    const key = keyOf(attempt.server.id, attempt.server.startedAt)
    const open = this.#open.get(key)
    open?.delete(attempt)
    if (open?.size === 0) this.#open.delete(key)
  }

  /**
   * @param report - crash that another node has reported
   * @returns whether this node did not know of the crash
   */
  crashHeard ({ server, startedAt, at }: CrashReport): boolean {
    const key = keyOf(server, startedAt)
    if (this.#crashes.has(key)) return false
    this.#keep(key, { at, covered: null, isNoticedLate: false, isBeingConfirmed: false })
    return true
  }

  /**
   * @param server - a backend server
   * @returns whether a crash of its present start is reported and not refuted
   */
  isReportedCrashed ({ id, startedAt }: BackendServer): boolean {
    return this.#crashes.has(keyOf(id, startedAt))
  }

  get #heldUpFor (): Millis {
    return this.#options.clock() - this.#options.runningClock()
  }

  #dataReceived (attempt: WatchedAttempt, start: ServerStart): void {
    const crash = this.#crashes.get(keyOf(start.server, start.startedAt))
    if (crash === undefined || crash.isBeingConfirmed) return
    const dataAt = this.#options.clock()
    const isOlder = attempt.sentAt <= crash.at
    const acceptedAt = isOlder ? attempt.sentAt : Math.min(dataAt, attempt.sentAt + CONNECT_TIMEOUT)
    if (!provesSurvival(crash.at, { acceptedAt, dataAt }) || (crash.isNoticedLate && !isOlder)) return
    if (!isOlder) {
      this.#survived(start, dataAt)
      return
    }
    crash.isBeingConfirmed = true
    setTimeout(() => {
      crash.isBeingConfirmed = false
      if (this.#isOpen(attempt)) this.#survived(start, dataAt)
    }, SURVIVAL_CONFIRMATION).unref()
  }

  #survived ({ server, startedAt }: ServerStart, at: Millis): void {
    if (!this.#crashes.delete(keyOf(server, startedAt))) return
    this.#options.onSurvival({ server, startedAt, at })
  }

  /** A server that has crashed and breaks off a later connection has started again meanwhile; when is not known yet. */
  #startOf ({ server: { id, startedAt }, sentAt }: WatchedAttempt): number | null {
    const crash = this.#crashes.get(keyOf(id, startedAt))
    return crash !== undefined && sentAt >= crash.at + MIN_RESTART_TIME ? null : startedAt
  }

  #coversAny (server: RunnerId, starts: ReadonlyArray<number | null>, attempt: WatchedAttempt): boolean {
    return starts.some((startedAt) => this.#crashes.get(keyOf(server, startedAt))?.covered?.has(attempt) === true)
  }

  #isOpen (attempt: WatchedAttempt): boolean {
    return this.#open.get(keyOf(attempt.server.id, attempt.server.startedAt))?.has(attempt) === true
  }

  #keep (key: string, crash: SuspectedCrash): void {
    const now = this.#options.clock()
    for (const [other, { at }] of this.#crashes) if (now - at > CRASH_RETENTION) this.#crashes.delete(other)
    this.#crashes.set(key, crash)
  }
}

const keyOf = (server: RunnerId, startedAt: number | null): string => `${server}/${startedAt ?? ''}`
