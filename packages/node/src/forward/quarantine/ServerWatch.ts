/** Tells from the attempts of this node which backend servers have crashed, and which requests may have caused it. */
import type { BackendServer, CrashReport, Millis, NodeId, PromptPart, RunnerId, ServerSurvival, Suspect } from '@bluebellhill/domain'

/** Data that arrives this long after a crash was reported shows that the report is wrong: a crash breaks all connections at once. */
const SURVIVAL_DELAY: Millis = 50

/** Time for which a connection that is older than the report has to stay open: its last bytes may have waited in this process. */
const SURVIVAL_CONFIRMATION: Millis = 100

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

/** A reported crash that data may still refute. */
interface SuspectedCrash {
  readonly at: Millis
  /** Attempts of this node that the report covers; null if another node has reported it. */
  readonly covered: ReadonlySet<WatchedAttempt> | null
  isBeingConfirmed: boolean
}

/** Open attempts of this node by backend server and its start time. */
export class ServerWatch {
  readonly #options: ServerWatchOptions
  readonly #open = new Map<string, Set<WatchedAttempt>>()
  readonly #crashes = new Map<string, SuspectedCrash>()

  /** @param options - this node, and who is told of what it sees */
  constructor (options: ServerWatchOptions) {
    this.#options = options
  }

  /** @param attempt - an attempt whose request is being sent */
  sent (attempt: WatchedAttempt): void {
    const key = keyOf(attempt.server.id, attempt.server.startedAt)
    const open = this.#open.get(key)
    if (open === undefined) this.#open.set(key, new Set([attempt]))
    else open.add(attempt)
  }

  /** @param attempt - an attempt whose server has sent bytes of its own answer */
  dataReceived (attempt: WatchedAttempt): void {
    const { id, startedAt } = attempt.server
    const crash = this.#crashes.get(keyOf(id, startedAt))
    if (crash === undefined || crash.isBeingConfirmed) return
    const now = this.#options.clock()
    if (now - crash.at <= SURVIVAL_DELAY) return
    if (attempt.sentAt > crash.at) {
      this.#survived(attempt, now)
      return
    }
    crash.isBeingConfirmed = true
    setTimeout(() => {
      crash.isBeingConfirmed = false
      if (this.#isOpen(attempt)) this.#survived(attempt, now)
    }, SURVIVAL_CONFIRMATION).unref()
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
    const { id, startedAt, service } = attempt.server
    const key = keyOf(id, startedAt)
    if (this.#crashes.get(key)?.covered?.has(attempt) === true || this.#options.isLeaving(attempt.server)) return
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
    this.#keep(key, { at: report.at, covered, isBeingConfirmed: false })
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
    this.#keep(key, { at, covered: null, isBeingConfirmed: false })
    return true
  }

  /**
   * @param server - a backend server
   * @returns whether a crash of its present start is reported and not refuted
   */
  isReportedCrashed ({ id, startedAt }: BackendServer): boolean {
    return this.#crashes.has(keyOf(id, startedAt))
  }

  #survived ({ server: { id, startedAt } }: WatchedAttempt, at: Millis): void {
    if (!this.#crashes.delete(keyOf(id, startedAt))) return
    this.#options.onSurvival({ server: id, startedAt, at })
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
