// Writes what happens in one case, with milliseconds from its start, and ends the case.
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Exit codes of a case. */
export const Outcome = { Held: 0, Broken: 1, NotRun: 2 }

/** Longest time of a case. */
const MAX_CASE_MS = 115_000

/** Record of one case. */
export class Record {
  #startedAt = performance.now()
  #lines = []

  /** @param folder - folder of the case */
  constructor (folder) {
    this.file = join(folder, 'record.txt')
  }

  write (subject, text) {
    this.#lines.push(`${String(Math.round(performance.now() - this.#startedAt)).padStart(6)} ms  ${subject.padEnd(10)} ${text}`)
  }

  save () {
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`)
  }
}

/** Whether the case includes its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * Runs a case, saves its record and exits.
 *
 * @param record - record of the case
 * @param deployment - ended after the case
 * @param play - plays the case and returns the violations of its rule
 */
export const runCase = async (record, deployment, play) => {
  const timer = setTimeout(() => {
    record.write('case', 'not finished in time')
    record.save()
    deployment.dispose().finally(() => process.exit(Outcome.NotRun))
  }, MAX_CASE_MS)
  let outcome = Outcome.NotRun
  try {
    record.write('case', hasTrouble ? 'with the disruption' : 'without the disruption')
    const violations = await play()
    outcome = violations.length === 0 ? Outcome.Held : Outcome.Broken
    for (const violation of violations) record.write('violation', violation)
    record.write('case', violations.length === 0 ? 'the rule held' : `the rule was broken: ${violations.length} violations`)
  } catch (error) {
    record.write('case', `could not run: ${error instanceof Error ? error.stack : String(error)}`)
  }
  clearTimeout(timer)
  await deployment.dispose()
  record.save()
  process.stdout.write(`${['held', 'broken', 'not run'][outcome]}\n`)
  process.exit(outcome)
}
