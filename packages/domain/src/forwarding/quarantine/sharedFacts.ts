/** Which facts other nodes are told, and which are given up first. */
import { MAX_SHARED_REPORTS, MAX_SHARED_SOUNDS, MAX_SHARED_SURVIVALS, MAX_SHARED_TRIALS } from './constants.js'
import type { CrashReports } from './CrashReports.js'
import type { Trials } from './Trials.js'
import type { SoundAnswers } from './SoundAnswers.js'
import type { CrashReport, Suspect, QuarantineFacts, SoundAnswer } from './types.js'

/** Reports that other nodes are told; they stay the same until a report, a survival or a standing changes. */
export interface SharedReports {
  readonly reports: readonly CrashReport[]
  /** Their parts, those in most reports first. */
  readonly parts: readonly Suspect[]
}

/** All that a copy knows. */
export interface KnownFacts {
  readonly reports: CrashReports
  readonly shared: SharedReports
  readonly sounds: SoundAnswers
  readonly trials: Trials
}

/**
 * @param reports - all reports
 * @param isQuarantined - whether a part is quarantined
 * @returns the reports that other nodes are told; those that decide a quarantine come first
 */
export const selectReports = (reports: CrashReports, isQuarantined: (part: Suspect) => boolean): SharedReports => {
  const selected = byImportance(reports, isQuarantined).slice(0, MAX_SHARED_REPORTS)
  return { reports: selected, parts: partsByFrequency(selected) }
}

/**
 * @param known - all that a copy knows
 * @returns the facts that other nodes need, bounded; those that decide a quarantine come first
 */
export const selectFacts = ({ reports, shared, sounds, trials }: KnownFacts): QuarantineFacts => {
  return {
    crashes: shared.reports,
    sounds: selectSounds(shared, sounds),
    survivals: reports.survivals.sort((a, b) => b.at - a.at).slice(0, MAX_SHARED_SURVIVALS),
    trials: trials.all.slice(0, MAX_SHARED_TRIALS)
  }
}

/**
 * @param reports - all reports
 * @param isQuarantined - whether a part is quarantined
 * @returns the reports that decide a quarantine, then the others, and refuted ones last; newest first in each group
 */
export const byImportance = (reports: CrashReports, isQuarantined: (part: Suspect) => boolean): CrashReport[] => {
  const importanceOf = (report: CrashReport): number => {
    if (reports.isRefuted(report)) return 0
    return report.parts.some(isQuarantined) ? 2 : 1
  }
  return reports.reports
    .map((report) => ({ report, importance: importanceOf(report) }))
    .sort((a, b) => b.importance - a.importance || b.report.at - a.report.at)
    .map(({ report }) => report)
}

/** The newest sound answer of each service shows that other requests are answered. */
const selectSounds = ({ reports, parts }: SharedReports, sounds: SoundAnswers): SoundAnswer[] => {
  if (reports.length === 0) return []
  const selected = sounds.newest
  const listed = new Set(selected.map(({ part }) => part))
  for (const part of parts) {
    if (selected.length >= MAX_SHARED_SOUNDS) break
    const at = sounds.find(part)
    if (at !== null && !listed.has(part)) selected.push({ part, at })
  }
  return selected.slice(0, MAX_SHARED_SOUNDS)
}

/** Parts of the reports, those in most reports first. */
const partsByFrequency = (reports: readonly CrashReport[]): Suspect[] => {
  const counts = new Map<Suspect, number>()
  for (const part of reports.flatMap(({ parts }) => parts)) counts.set(part, (counts.get(part) ?? 0) + 1)
  return [...counts].sort(([, a], [, b]) => b - a).map(([part]) => part)
}
