/** Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { join } from 'node:path'

import { Fleet } from './Fleet.mjs'

const HELD = 0
const BROKEN = 1
const NOT_RUN = 2

/** The case has to end within two minutes; it is given up a little earlier. */
const LIMIT_MS = 110_000

/**
 * @param folder - folder of the case, which gets the record
 * @param play - plays the case with a fleet and whether there is trouble; returns what breaks the rule, or an empty list
 */
export const runCase = async (folder, play) => {
  const fleet = new Fleet()
  const hasTrouble = process.env.TROUBLE !== '0'
  const limit = setTimeout(() => finish(NOT_RUN, 'the case took too long'), LIMIT_MS)
  const finish = async (code, text) => {
    clearTimeout(limit)
    fleet.note(text)
    console.log(text)
    await fleet.dispose(join(folder, 'record.txt'))
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => finish(NOT_RUN, `ended by ${signal}`))
  try {
    const broken = await play(fleet, hasTrouble)
    await finish(broken.length > 0 ? BROKEN : HELD, broken.length > 0 ? `broken: ${broken.join('; ')}` : 'held')
  } catch (error) {
    await finish(NOT_RUN, `could not run: ${error instanceof Error ? error.stack : String(error)}`)
  }
}
