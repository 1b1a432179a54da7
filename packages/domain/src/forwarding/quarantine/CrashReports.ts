/** Keeps the reports of crashed servers and groups them into crashes. */
import type { Millis, RunnerId } from '../../types.js'
import { FACT_TOLERANCE, SAME_END_TOLERANCE, SURVIVAL_DELAY } from './constants.js'
import { UNKNOWN_SERVICE } from './SoundAnswers.js'
import { isRequest } from './suspects.js'
import type { CrashReport, ServerSurvival, Suspect } from './types.js'

/** End of one start of a server, as all nodes together report it. */
export interface Crash {
  readonly server: RunnerId
  readonly at: Millis
  /** Name of its service; empty if no report tells it. */
  readonly service: string
  /** Requests with shared prompt parts, of all nodes, that may have caused it. */
  readonly suspects: number
  /** Parts of their prompts, and the requests themselves. */
  readonly parts: ReadonlySet<Suspect>
  readonly reports: readonly CrashReport[]
}

type ServerStart = Pick<CrashReport, 'server' | 'startedAt'>

/** Reports and survivals, each kept once whatever the order in which they arrive. */
export class CrashReports {
  readonly #reports = new Map<string, CrashReport>()
  /** Keys of the reports on each start. */
  readonly #keysByStart = new Map<string, Set<string>>()
  readonly #survivals = new Map<string, ServerSurvival>()
  /** Derived from the reports and survivals; null if they have changed since. */
  #crashes: readonly Crash[] | null = null
  #times: ReadonlyMap<Suspect, readonly Millis[]> | null = null
  #lastTimes: ReadonlyMap<string, Millis> | null = null
  #hasRequests: boolean | null = null

  /** Number of reports. */
  get size (): number {
    return this.#reports.size
  }

  /** All reports, refuted ones included. */
  get reports (): CrashReport[] {
    return [...this.#reports.values()]
  }

  /** All survivals. */
  get survivals (): ServerSurvival[] {
    return [...this.#survivals.values()]
  }

  /**
   * @param report - a report of a crash
   * @returns whether it adds something
   */
  record (report: CrashReport): boolean {
    const key = reportKey(report)
    const known = this.#reports.get(key)
    const merged = known === undefined ? report : mergeReports(known, report)
    if (merged === known) return false
    this.#reports.set(key, merged)
    this.#changed()
    const start = startKey(report)
    this.#keysByStart.set(start, (this.#keysByStart.get(start) ?? new Set()).add(key))
    return known === undefined || !haveSameContent(known, merged)
  }

  /**
   * @param reports - reports that a peer tells
   * @returns least time by which those that are known seem later than they were; 0 if none is known
   */
  delayOf (reports: readonly CrashReport[]): Millis {
    const delays = reports.flatMap((report) => {
      const known = this.#reports.get(reportKey(report))
      return known !== undefined && Math.abs(report.at - known.at) <= SAME_END_TOLERANCE ? [report.at - known.at] : []
    })
    return delays.length === 0 ? 0 : Math.max(0, Math.min(...delays))
  }

  /**
   * @param survival - a sign of life of a server
   * @returns whether it is newer than the one that was known
   */
  recordSurvival (survival: ServerSurvival): boolean {
    const key = startKey(survival)
    const known = this.#survivals.get(key)
    if (known !== undefined && survival.at <= known.at + FACT_TOLERANCE) return false
    this.#survivals.set(key, survival)
    this.#changed()
    return true
  }

  /**
   * @param report - a report of a crash
   * @returns whether the server has sent data under the same start since
   */
  isRefuted (report: CrashReport): boolean {
    const survival = this.#survivals.get(startKey(report))
    return survival !== undefined && survival.at > report.at + SURVIVAL_DELAY
  }

  /**
   * @param start - one start of a server
   * @returns number of reports on it that are not refuted
   */
  countValid (start: ServerStart): number {
    const keys = this.#keysByStart.get(startKey(start)) ?? []
    return [...keys].filter((key) => !this.isRefuted(this.#reports.get(key)!)).length
  }

  /** @returns the crashes that are not refuted, oldest first; the same array as long as no report or survival changes */
  crashes (): readonly Crash[] {
    this.#crashes ??= this.#collectCrashes()
    return this.#crashes
  }

  /** Whether a report names a request, and not only prompt parts. */
  get hasRequests (): boolean {
    this.#hasRequests ??= this.reports.some(({ parts }) => parts.some(isRequest))
    return this.#hasRequests
  }

  /**
   * @param service - name of a service
   * @returns time of the newest report on a server of the service, refuted or not; infinity if there is none
   */
  lastTimeOf (service: string): Millis {
    this.#lastTimes ??= collectLastTimes(this.#reports.values())
    return this.#lastTimes.get(service) ?? Infinity
  }

  /**
   * @param part - a suspect
   * @returns times of the reports with it, refuted ones included
   */
  timesOf (part: Suspect): readonly Millis[] {
    this.#times ??= collectTimes(this.#reports.values())
    return this.#times.get(part) ?? []
  }

  #collectCrashes (): Crash[] {
    const groups = new Map<string, CrashReport[]>()
    const valid = this.reports.filter((report) => !this.isRefuted(report)).sort(compareReports)
    for (const report of valid) appendReport(groups, report)
    return [...groups.values()].map(crashOf).sort((a, b) => a.at - b.at || (a.server < b.server ? -1 : 1))
  }

  /** @returns number of server starts whose reports are all refuted */
  countRefuted (): number {
    const refuted = this.reports.filter((report) => this.isRefuted(report)).map(startKey)
    const valid = new Set(this.reports.filter((report) => !this.isRefuted(report)).map(startKey))
    return new Set(refuted.filter((key) => !valid.has(key))).size
  }

  /** @param report - the report to discard */
  remove (report: CrashReport): void {
    const [start, key] = [startKey(report), reportKey(report)]
    this.#reports.delete(key)
    this.#changed()
    const keys = this.#keysByStart.get(start)
    keys?.delete(key)
    if (keys?.size === 0) this.#keysByStart.delete(start)
  }

  /** @param survival - the survival to discard */
  removeSurvival (survival: ServerSurvival): void {
    this.#survivals.delete(startKey(survival))
    this.#changed()
  }

  #changed (): void {
    this.#crashes = null
    this.#times = null
    this.#lastTimes = null
    this.#hasRequests = null
  }
}

const collectTimes = (reports: Iterable<CrashReport>): Map<Suspect, Millis[]> => {
  const times = new Map<Suspect, Millis[]>()
  for (const { parts, at } of reports) {
    for (const part of parts) {
      const ofPart = times.get(part)
      if (ofPart === undefined) times.set(part, [at])
      else ofPart.push(at)
    }
  }
  return times
}

const collectLastTimes = (reports: Iterable<CrashReport>): Map<string, Millis> => {
  const times = new Map<string, Millis>()
  for (const { service = UNKNOWN_SERVICE, at } of reports) times.set(service, Math.max(at, times.get(service) ?? -Infinity))
  return times
}

const startKey = ({ server, startedAt }: ServerStart): string => `${startedAt ?? '?'} ${server}`

/** Ends of unknown starts are told apart by their times. */
const reportKey = (report: CrashReport): string => {
  const end = report.startedAt === null ? Math.round(report.at / SAME_END_TOLERANCE) : ''
  return `${startKey(report)} ${end} ${report.reportedBy}`
}

/** A start ends once: the later of two ends is the real one. Reports of the same end are joined. */
const mergeReports = (known: CrashReport, report: CrashReport): CrashReport => {
  if (report.at > known.at + SAME_END_TOLERANCE) return report
  if (report.at < known.at - SAME_END_TOLERANCE) return known
  const fuller = compareContent(known, report) >= 0 ? known : report
  const at = Math.min(known.at, report.at)
  return fuller.at === at ? fuller : { ...fuller, at }
}

const compareContent = (a: CrashReport, b: CrashReport): number =>
  a.suspects - b.suspects || a.parts.length - b.parts.length || compareLists(a.parts, b.parts)

const compareLists = (a: readonly string[], b: readonly string[]): number => {
  const index = a.findIndex((text, position) => text !== b[position])
  return index < 0 ? 0 : compareText(a[index]!, b[index]!)
}

const haveSameContent = (a: CrashReport, b: CrashReport): boolean =>
  compareContent(a, b) === 0 && Math.abs(a.at - b.at) <= SAME_END_TOLERANCE

const compareText = (a: string, b: string): number => a === b ? 0 : a < b ? -1 : 1

const compareReports = (a: CrashReport, b: CrashReport): number => a.at - b.at || compareText(reportKey(a), reportKey(b))

/** Reports arrive ordered by time, so that those of one end with an unknown start follow each other. */
const appendReport = (groups: Map<string, CrashReport[]>, report: CrashReport): void => {
  const key = startKey(report)
  const group = groups.get(key)
  const last = group?.at(-1)
  if (group === undefined || last === undefined) groups.set(key, [report])
  else if (report.startedAt !== null || report.at - last.at <= SAME_END_TOLERANCE) group.push(report)
  else {
    groups.set(`${key} ${last.at}`, group)
    groups.set(key, [report])
  }
}

const crashOf = (reports: readonly CrashReport[]): Crash => ({
  server: reports[0]!.server,
  at: reports[0]!.at,
  service: reports.find(({ service }) => service !== undefined)?.service ?? UNKNOWN_SERVICE,
  suspects: reports.reduce((sum, { suspects }) => sum + suspects, 0),
  parts: new Set(reports.flatMap(({ parts }) => parts)),
  reports
})
