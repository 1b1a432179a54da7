/** Explains from decision logs why a request was refused because it, or a part of its prompt, crashes backend servers. */
import type { LogLine } from './decisionLog.js'

/** Greatest number of lines of evidence that are shown with a refusal; the newest are chosen. */
const MAX_EVIDENCE = 12

/**
 * @param line - line about a request that was refused because it, or a part of its prompt, crashes servers
 * @returns a sentence without its time
 */
export const describeQuarantined = ({ node, fields }: LogLine): string => {
  const ran = fields.ran === 'no' ? 'It has not run' : 'It may have run'
  const sound = fields.sound_before === 'true' ? 'had been sound before' : 'had never been seen in a sound answer'
  const [what, subject] = fields.request_digest === undefined ? [`part ${fields.part} of its prompt`, 'the part'] : [`the request itself (${fields.request_digest})`, 'the request']
  return `node ${node} refused it for good: ${what} was quarantined after ${fields.crashes} crashes of engines at ${fields.moments} different moments, ` +
    `the last one ${fields.last_crash_ms_ago} ms before; ${subject} ${sound}. ${ran}.`
}

/**
 * @param lines - all log lines, ordered by time
 * @param refusal - line about a request that was refused because it, or a part of its prompt, crashes servers
 * @returns the lines about crashes and trials of that request or part which some node saw itself, up to the refusal
 */
export const evidenceAgainst = (lines: readonly LogLine[], refusal: LogLine): LogLine[] => {
  const suspect = refusal.fields.request_digest ?? refusal.fields.part ?? ''
  const names = ({ fields }: LogLine): boolean =>
    [fields.part, fields.request_digest, ...(fields.parts ?? '').split(','), ...(fields.request_digests ?? '').split(',')].includes(suspect)
  const isEvidence = (line: LogLine): boolean => line.at <= refusal.at && line.fields.age_ms === undefined && line.event in SENTENCES && names(line)
  return lines.filter(isEvidence).filter((line) => line.event !== 'part.quarantined' || line.node === refusal.node).slice(-MAX_EVIDENCE)
}

/**
 * @param line - line of evidence
 * @returns a sentence without its time
 */
export const describeEvidence = (line: LogLine): string => SENTENCES[line.event]?.(line) ?? line.event

const SENTENCES: Readonly<Record<string, (line: LogLine) => string>> = {
  'engine.crash_suspected': ({ node, fields }) => `${fields.service === undefined ? 'engine' : `server of ${fields.service}`} ${fields.server} broke off its connections to node ${node}; requests that had not proved sound there: ${unprovenOf(fields)} (${fields.requests ?? 'none'}).`,
  'part.quarantined': ({ node, fields }) => `node ${node} put the ${subjectOf(fields)} into quarantine.`,
  'part.released': ({ node, fields }) => `node ${node} released the ${subjectOf(fields)}.`,
  'part.trial': ({ node, fields }) => `node ${node} let request ${fields.request} go as a trial.`
}

const subjectOf = ({ request_digest: digest }: LogLine['fields']): string => digest === undefined ? 'part' : 'request'

/** Requests without prompt parts count only in lines that name the requests. */
const unprovenOf = ({ suspects, request_digests: digests }: LogLine['fields']): string | number | undefined =>
  digests === undefined ? suspects : Math.max(Number(suspects), digests.split(',').length)
