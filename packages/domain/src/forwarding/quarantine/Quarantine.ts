/** Decides which prompt parts and which requests crash backend servers, from facts that the nodes exchange. */
import type { Millis } from '../../types.js'
import { CONTRAST_PERIOD } from './partAssessment.js'
import type { Standing } from './crashEvidence.js'
import { EXPIRY_CHECK_GAP, FACT_EXPIRY, MAX_RECURRING_REQUESTS, MAX_REPORTS, MAX_SOUND_PARTS, MAX_SURVIVALS, MAX_TRIED_PARTS } from './constants.js'
import { CrashReports } from './CrashReports.js'
import type { Crash } from './CrashReports.js'
import { Trials } from './Trials.js'
import { collectSuspects, sharedParts } from './promptParts.js'
import { byImportance, selectFacts, selectReports } from './sharedFacts.js'
import type { SharedReports } from './sharedFacts.js'
import { Recurrences } from './Recurrences.js'
import { SoundAnswers, UNKNOWN_SERVICE } from './SoundAnswers.js'
import { trialTime } from './trialSchedule.js'
import type { QuarantinedStanding } from './trialSchedule.js'
import { isRequest } from './suspects.js'
import { QuarantineStatus } from './types.js'
import type {
  CrashReport, Evidence, Trial, Verdict, PromptPart, QuarantineCounts, QuarantineFacts, Recurrence, ServerSurvival, SoundAnswer, Suspect
} from './types.js'
import { assessSuspects } from './assessSuspects.js'

/** Copy of one node. Copies that have the same facts reach the same verdicts, in whatever order the facts arrive. */
export class Quarantine {
  readonly #reports = new CrashReports()
  readonly #sounds = new SoundAnswers(MAX_SOUND_PARTS)
  readonly #trials = new Trials(MAX_TRIED_PARTS)
  readonly #recurrences = new Recurrences(MAX_RECURRING_REQUESTS)
  /** Crashes from which the standings were computed. */
  #assessed: readonly Crash[] | null = null
  /** Null if sound answers have changed since it was computed. */
  #standings: Map<Suspect, Standing> | null = null
  /** Reports for other nodes, and the standings by which they were selected. */
  #shared: { readonly selected: SharedReports, readonly standings: Map<Suspect, Standing> } | null = null
  #factsDropped = 0
  #expiryCheckedAt: Millis = -Infinity

  /**
   * Merges what a peer tells. The crashes that both know show how long the message was under way; its times are corrected by that, since
   * sound answers would otherwise move past later crashes as they go round.
   *
   * @param facts - facts of a peer, with times on this node's clock
   * @returns whether other nodes should know of some of them
   */
  merge (facts: QuarantineFacts): boolean {
    const delay = this.#reports.delayOf(facts.crashes)
    const corrected = <Fact extends { readonly at: Millis }>(fact: Fact): Fact => delay === 0 ? fact : { ...fact, at: fact.at - delay }
    const news = [
      ...facts.crashes.map((crash) => this.recordCrash(corrected(crash))),
      ...facts.survivals.map((survival) => this.recordSurvival(corrected(survival))),
      ...facts.sounds.map((sound) => this.recordSound(corrected(sound))),
      ...facts.trials.map((trial) => this.recordTrial(corrected(trial))),
      ...(facts.recurrences ?? []).map((recurrence) => this.recordRecurrence(corrected(recurrence)))
    ]
    return news.includes(true)
  }

  /**
   * @param report - requests of a node that may have crashed a server
   * @returns whether other nodes should know of it; the facts then also contain what is known of its parts
   */
  recordCrash (report: CrashReport): boolean {
    if (!this.#reports.record(report)) return false
    this.#dropReports()
    return true
  }

  /**
   * @param sound - a part of a request that proved sound
   * @returns whether other nodes should know of it, since it lifts or weakens a suspicion
   */
  recordSound (sound: SoundAnswer): boolean {
    const { part, at, service = UNKNOWN_SERVICE } = sound
    const known = this.#sounds.find(part) ?? -Infinity
    const newest = this.#sounds.newestOf(service)?.at ?? -Infinity
    if (!this.#sounds.record(sound)) return false
    this.#trials.removeUntil(part, at)
    this.#factsDropped += this.#sounds.trim((each) => this.#reports.timesOf(each).length > 0)
    const lastTime = this.#reports.lastTimeOf(service)
    const isContrast = newest <= lastTime && at > lastTime
    const laterCrashes = this.#reports.timesOf(part).filter((time) => time > known)
    // Without a crash since the sound answer that was known, a newer one changes nothing.
    if (newest <= lastTime + CONTRAST_PERIOD || laterCrashes.length > 0) this.#standings = null
    return isContrast || laterCrashes.some((time) => time <= at || known === -Infinity)
  }

  /**
   * @param survival - a sign of life of a server that was reported as crashed
   * @returns whether other nodes should know of it, since it refutes a report
   */
  recordSurvival (survival: ServerSurvival): boolean {
    const before = this.#reports.countValid(survival)
    if (!this.#reports.recordSurvival(survival)) return false
    const isRefutation = this.#reports.countValid(survival) < before
    this.#dropSurvivals()
    return isRefutation
  }

  /**
   * @param start - one start of a server
   * @returns whether it is reported as crashed, so that data from it has to be recorded as a survival
   */
  isReported (start: Pick<CrashReport, 'server' | 'startedAt'>): boolean {
    return this.#reports.countValid(start) > 0
  }

  /**
   * @param trial - a request that was sent to find out whether a part is sound again
   * @returns whether other nodes should know of it
   */
  recordTrial (trial: Trial): boolean {
    const soundAt = this.#sounds.find(trial.part) ?? -Infinity
    if (trial.at <= soundAt || !this.#trials.record(trial)) return false
    this.#factsDropped += this.#trials.trim()
    return true
  }

  /**
   * @param recurrence - a quarantined request that came again
   * @returns whether other nodes should know of it, so that they do not forget the request
   */
  recordRecurrence (recurrence: Recurrence): boolean {
    return this.#recurrences.record(recurrence)
  }

  /** Whether a request, and not only prompt parts, is among the suspects of a crash. */
  get hasSuspectedRequests (): boolean {
    return this.#reports.hasRequests
  }

  /**
   * @param suspect - a prompt part or a request
   * @returns whether it is among the suspects of a crash, so that its sound answers have to be recorded
   */
  isInCrashReport (suspect: Suspect): boolean {
    return this.#reports.timesOf(suspect).length > 0
  }

  /**
   * @param parts - all parts of a request's prompt
   * @param now - current time
   * @param request - the request itself; null if no request is suspected
   * @returns whether, and how, the request may be sent
   */
  verdict (parts: readonly PromptPart[], now: Millis, request: Suspect | null = null): Verdict {
    this.#expire(now)
    const standings = this.#assess()
    const suspects = request === null ? sharedParts(parts) : [request, ...sharedParts(parts)]
    const found = suspects.map((part) => standings.get(part)).filter((standing) => standing !== undefined)
    const quarantined = found.filter(isQuarantined)
    if (quarantined.length > 0) return this.#quarantineVerdict(quarantined, now)
    const suspected = found.find(({ part }) => isRequest(part)) ?? found.reduce<Standing | null>((most, each) => most === null || each.moments > most.moments ? each : most, null)
    return suspected === null ? { status: QuarantineStatus.Clear } : { status: QuarantineStatus.Suspected, evidence: evidenceOf(suspected, now) }
  }

  /** The suspect whose trial is due last decides. */
  #quarantineVerdict (standings: readonly QuarantinedStanding[], now: Millis): Verdict {
    const parts = standings.map(({ part }) => part)
    const context = { present: new Set(parts), quarantined: this.#quarantined(), trials: this.#trials }
    const times = standings.map((standing) => trialTime(standing, context))
    const dueAt = Math.max(...times)
    return {
      status: QuarantineStatus.Quarantined,
      evidence: evidenceOf(standings[times.indexOf(dueAt)]!, now),
      parts,
      isTrialDue: now >= dueAt
    }
  }

  #quarantined (): QuarantinedStanding[] {
    return [...this.#assess().values()].filter(isQuarantined)
  }

  /**
   * @param prompts - all parts of each request that had not proved sound when a server ended
   * @param requests - the requests themselves
   * @returns what a crash report says of them
   */
  suspectsOf (prompts: readonly (readonly PromptPart[])[], requests: readonly Suspect[] = []): Pick<CrashReport, 'suspects' | 'parts'> {
    return collectSuspects(prompts, requests, {
      soundTime: (suspect) => this.#sounds.find(suspect),
      countReports: (suspect) => this.#reports.timesOf(suspect).length
    })
  }

  /**
   * @param now - current time
   * @returns the parts that are quarantined, with the evidence
   */
  quarantinedParts (now: Millis): Evidence[] {
    this.#expire(now)
    return this.#quarantined().map((standing) => evidenceOf(standing, now))
  }

  /**
   * @param now - current time
   * @returns counts for metrics
   */
  counts (now: Millis): QuarantineCounts {
    this.#expire(now)
    const standings = [...this.#assess().values()]
    const partsQuarantined = standings.filter(isQuarantined).length
    return {
      crashesKnown: this.#reports.crashes().length,
      crashesRefuted: this.#reports.countRefuted(),
      partsSuspected: standings.length - partsQuarantined,
      partsQuarantined,
      factsDropped: this.#factsDropped
    }
  }

  /**
   * @param now - current time
   * @returns the facts that other nodes need, bounded; those that decide a quarantine come first
   */
  facts (now: Millis): QuarantineFacts {
    this.#expire(now)
    const selected = selectFacts({ reports: this.#reports, shared: this.#sharedReports(), sounds: this.#sounds, trials: this.#trials })
    return { ...selected, recurrences: this.#recurrences.all }
  }

  /** Messages to other nodes are sent all the time, and the reports rarely change; a change of them is one of the standings too. */
  #sharedReports (): SharedReports {
    const standings = this.#assess()
    if (this.#shared?.standings !== standings) this.#shared = { selected: selectReports(this.#reports, (part) => this.#isQuarantined(part)), standings }
    return this.#shared.selected
  }

  #isQuarantined (part: Suspect): boolean {
    const standing = this.#assess().get(part)
    return standing !== undefined && isQuarantined(standing)
  }

  #assess (): Map<Suspect, Standing> {
    const crashes = this.#reports.crashes()
    if (this.#standings === null || this.#assessed !== crashes) {
      this.#standings = assessSuspects(crashes, this.#sounds)
      this.#assessed = crashes
    }
    return this.#standings
  }

  /** Evidence against a part is kept as long as its quarantine is confirmed at times. */
  #expire (now: Millis): void {
    if (now < this.#expiryCheckedAt + EXPIRY_CHECK_GAP) return
    this.#expiryCheckedAt = now
    const limit = now - FACT_EXPIRY
    const expired = this.#reports.reports.filter((report) => report.at < limit && !report.parts.some((part) => this.#isConfirmedSince(part, limit)))
    for (const report of expired) this.#reports.remove(report)
    for (const survival of this.#reports.survivals) if (survival.at < limit) this.#reports.removeSurvival(survival)
    this.#recurrences.expire(limit)
    this.#trials.expire(limit, (part) => this.#recurrences.lastTime(part) >= limit)
  }

  #isConfirmedSince (part: PromptPart, limit: Millis): boolean {
    const standing = this.#assess().get(part)
    return standing !== undefined && isQuarantined(standing) && Math.max(standing.lastCrashAt, this.#trials.lastTime(part), this.#recurrences.lastTime(part)) >= limit
  }

  #dropReports (): void {
    if (this.#reports.size <= MAX_REPORTS) return
    const isQuarantined = (part: Suspect): boolean => this.#isQuarantined(part)
    const least = byImportance(this.#reports, isQuarantined).at(-1)!
    this.#reports.remove(least)
    this.#factsDropped++
  }

  #dropSurvivals (): void {
    const { survivals } = this.#reports
    if (survivals.length <= MAX_SURVIVALS) return
    this.#reports.removeSurvival(survivals.reduce((a, b) => b.at < a.at ? b : a))
    this.#factsDropped++
  }
}

const isQuarantined = (standing: Standing): standing is QuarantinedStanding => standing.quarantinedAt !== null

const evidenceOf = ({ part, crashes, moments, lastCrashAt, soundAt }: Standing, now: Millis): Evidence =>
  ({ part, crashes: crashes.length, moments, lastCrashAge: now - lastCrashAt, wasSound: soundAt !== null })
