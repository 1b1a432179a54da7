/** Explains from decision logs why a request was refused because of a part of its prompt. */
import type { LogLine } from './decisionLog.js'

/** Greatest number of lines of evidence that are shown with a refusal; the newest are chosen. */
const MAX_EVIDENCE = 12

/**
 * @param line - line about a request that was refused because of a part of its prompt
 * @returns a sentence without its time
 */
export const describeQuarantined = ({ node, fields }: LogLine): string => {
  const ran = fields.ran === 'no' ? 'It has not run' : 'It may have run'
  const sound = fields.sound_before === 'true' ? 'had been sound before' : 'had never been seen in a sound answer'
  return `node ${node} refused it for good: part ${fields.part} of its prompt was quarantined after ${fields.crashes} crashes of engines at ${fields.moments} different moments, ` +
    `the last one ${fields.last_crash_ms_ago} ms before; the part ${sound}. ${ran}.`
}

/**
 * @param lines - all log lines, ordered by time
 * @param refusal - line about a request that was refused because of a part of its prompt
 * @returns the lines about crashes and trials of that part which some node saw itself, up to the refusal
 */
export const evidenceAgainst = (lines: readonly LogLine[], refusal: LogLine): LogLine[] => {
  const part = refusal.fields.part ?? ''
  const names = ({ fields }: LogLine): boolean => fields.part === part || (fields.parts ?? '').split(',').includes(part)
  const isEvidence = (line: LogLine): boolean => line.at <= refusal.at && line.fields.age_ms === undefined && line.event in SENTENCES && names(line)
  return lines.filter(isEvidence).filter((line) => line.event !== 'part.quarantined' || line.node === refusal.node).slice(-MAX_EVIDENCE)
}

/**
 * @param line - line of evidence
 * @returns a sentence without its time
 */
export const describeEvidence = (line: LogLine): string => SENTENCES[line.event]?.(line) ?? line.event

const SENTENCES: Readonly<Record<string, (line: LogLine) => string>> = {
  'engine.crash_suspected': ({ node, fields }) => `engine ${fields.server} broke off its connections to node ${node}; requests that had not proved sound there: ${fields.suspects} (${fields.requests ?? 'none'}).`,
  'part.quarantined': ({ node }) => `node ${node} put the part into quarantine.`,
  'part.released': ({ node }) => `node ${node} released the part.`,
  'part.trial': ({ node, fields }) => `node ${node} let request ${fields.request} go as a trial.`
}
