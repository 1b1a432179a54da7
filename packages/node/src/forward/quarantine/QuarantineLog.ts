/** Writes the log lines about what crashes backend servers, and remembers what is quarantined for them. */
import { isRequest } from '@bluebellhill/domain'
import type { CrashReport, Millis, Evidence, QuarantineFacts, ServerSurvival, Suspect } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'

/** Difference in time below which a fact is one that was logged before. */
const REPETITION_TOLERANCE: Millis = 200

/** Facts of other nodes that are remembered, so that repetitions are not logged. */
const MAX_HEARD = 512

/** Ids that one log line names. */
const MAX_IDS = 8

export interface QuarantineLogOptions {
  readonly log: Log
  readonly clock: () => Millis
}

/** Log lines about crashes of servers, and the prompt parts and requests behind them. */
export class QuarantineLog {
  readonly #options: QuarantineLogOptions
  /** Times of facts of other nodes that were logged. */
  readonly #heardAt = new Map<string, Millis>()
  /** Prompt parts and requests whose quarantine has been logged. */
  #quarantined: ReadonlySet<Suspect> = new Set()

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

  /** @param facts - facts that another node has sent; those that are repeated are not logged again */
  heard ({ crashes, survivals, trials }: QuarantineFacts): void {
    const { log, clock } = this.#options
    const now = clock()
    for (const crash of crashes) log.warn('engine.crash_suspected', { ...crashFields(crash), reported_by: crash.reportedBy, age_ms: Math.round(now - crash.at) })
    for (const { server, startedAt, at } of survivals) {
      if (this.#isNew(`survival of ${server}`, at)) log.info('engine.crash_refuted', { server, server_started_at: startedAt ?? undefined, age_ms: Math.round(now - at), reason: 'another node has received more data' })
    }
    for (const { part, at, grantedBy } of trials) {
      if (this.#isNew(`trial of ${part}`, at)) log.info('part.trial', { parts: part, granted_by: grantedBy, age_ms: Math.round(now - at) })
    }
  }

  #isNew (name: string, at: Millis): boolean {
    if (at <= (this.#heardAt.get(name) ?? -Infinity) + REPETITION_TOLERANCE) return false
    this.#heardAt.delete(name)
    this.#heardAt.set(name, at)
    const [oldest] = this.#heardAt.keys()
    if (this.#heardAt.size > MAX_HEARD && oldest !== undefined) this.#heardAt.delete(oldest)
    return true
  }

  /**
   * @param parts - the request that is sent as a trial if it is quarantined, and its quarantined parts
   * @param request - its id
   */
  trialGranted (parts: readonly Suspect[], request: string): void {
    this.#options.log.info('part.trial', { request, parts: joined(parts) })
  }

  /**
   * Logs what has got into the quarantine or out of it.
   *
   * @param quarantined - what is quarantined now
   * @returns whether something has got into the quarantine
   */
  quarantineChanged (quarantined: readonly Evidence[]): boolean {
    const { log } = this.#options
    const parts = new Set(quarantined.map(({ part }) => part))
    const released = [...this.#quarantined].filter((part) => !parts.has(part))
    const added = quarantined.filter(({ part }) => !this.#quarantined.has(part))
    for (const part of released) log.info('part.released', suspectField(part))
    for (const { part, ...evidence } of added) log.warn('part.quarantined', { ...suspectField(part), ...evidenceFields(evidence) })
    this.#quarantined = parts
    return added.length > 0
  }
}

/**
 * @param evidence - evidence against a prompt part or a request
 * @returns its fields in a log line
 */
export const evidenceFields = ({ crashes, moments, lastCrashAge, wasSound }: Omit<Evidence, 'part'>): Record<string, unknown> =>
  ({ crashes, moments, last_crash_ms_ago: Math.round(lastCrashAge), sound_before: wasSound })

/**
 * @param suspect - a prompt part or a request
 * @returns its field in a log line
 */
export const suspectField = (suspect: Suspect): Record<string, unknown> => ({ [isRequest(suspect) ? 'request_digest' : 'part']: suspect })

const crashFields = ({ server, startedAt, service, suspects, parts }: CrashReport): Record<string, unknown> => ({
  server,
  service,
  server_started_at: startedAt ?? undefined,
  suspects,
  parts: joined(parts.filter((part) => !isRequest(part))),
  request_digests: joined(parts.filter(isRequest))
})

const joined = (ids: readonly string[]): string | undefined => {
  if (ids.length === 0) return undefined
  const rest = ids.length - MAX_IDS
  return [...ids.slice(0, MAX_IDS), ...(rest > 0 ? [`+${rest}`] : [])].join(',')
}
