/** Writes the log lines about prompt parts that crash engines, and remembers which parts are quarantined for them. */
import type { CrashReport, Millis, PartEvidence, PromptPart, ServerSurvival } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import { FactKind } from './FactQueue.js'
import type { Fact } from './FactQueue.js'

/** Ids that one log line names. */
const MAX_IDS = 8

export interface QuarantineLogOptions {
  readonly log: Log
  readonly clock: () => Millis
}

/** Log lines about crashes of engines and the parts behind them. */
export class QuarantineLog {
  readonly #options: QuarantineLogOptions
  /** Parts whose quarantine has been logged. */
  #quarantined: ReadonlySet<PromptPart> = new Set()

  /** @param options - log and clock of the node */
  constructor (options: QuarantineLogOptions) {
    this.#options = options
  }

  /**
   * @param report - crash that this node has noticed
   * @param requests - requests that may have caused it
   */
  crashSuspected (report: CrashReport, requests: readonly string[]): void {
    this.#options.log.warn('engine.crash_suspected', { ...crashFields(report), requests: joined(requests), reported_by: report.reportedBy })
  }

  /** @param survival - data from a server that was reported as crashed */
  survived ({ server, startedAt }: ServerSurvival): void {
    this.#options.log.info('engine.crash_refuted', { server, server_started_at: startedAt ?? undefined, reason: 'the server has sent more data' })
  }

  /** @param fact - new fact that another node has sent */
  heard ({ kind, fact }: Fact): void {
    const { log, clock } = this.#options
    const age = Math.round(clock() - fact.at)
    if (kind === FactKind.Crash) log.warn('engine.crash_suspected', { ...crashFields(fact), reported_by: fact.reportedBy, age_ms: age })
    else if (kind === FactKind.Survival) log.info('engine.crash_refuted', { server: fact.server, server_started_at: fact.startedAt ?? undefined, age_ms: age, reason: 'another node has received more data' })
    else if (kind === FactKind.Trial) log.info('part.trial', { parts: fact.part, granted_by: fact.grantedBy, age_ms: age })
  }

  /**
   * @param parts - the quarantined parts of a request that is sent as a trial
   * @param request - its id
   */
  trialGranted (parts: readonly PromptPart[], request: string): void {
    this.#options.log.info('part.trial', { request, parts: joined(parts) })
  }

  /**
   * Logs the parts that have got into the quarantine or out of it.
   *
   * @param quarantined - the parts that are quarantined now
   * @returns whether a part has got into the quarantine
   */
  quarantineChanged (quarantined: readonly PartEvidence[]): boolean {
    const { log } = this.#options
    const parts = new Set(quarantined.map(({ part }) => part))
    const released = [...this.#quarantined].filter((part) => !parts.has(part))
    const added = quarantined.filter(({ part }) => !this.#quarantined.has(part))
    for (const part of released) log.info('part.released', { part })
    for (const { part, ...evidence } of added) log.warn('part.quarantined', { part, ...evidenceFields(evidence) })
    this.#quarantined = parts
    return added.length > 0
  }
}

/**
 * @param evidence - evidence against a part
 * @returns its fields in a log line
 */
export const evidenceFields = ({ crashes, moments, lastCrashAge, wasSound }: Omit<PartEvidence, 'part'>): Record<string, unknown> =>
  ({ crashes, moments, last_crash_ms_ago: Math.round(lastCrashAge), sound_before: wasSound })

const crashFields = ({ server, startedAt, suspects, parts }: CrashReport): Record<string, unknown> =>
  ({ server, server_started_at: startedAt ?? undefined, suspects, parts: joined(parts) })

const joined = (ids: readonly string[]): string | undefined => {
  if (ids.length === 0) return undefined
  const rest = ids.length - MAX_IDS
  return [...ids.slice(0, MAX_IDS), ...(rest > 0 ? [`+${rest}`] : [])].join(',')
}
