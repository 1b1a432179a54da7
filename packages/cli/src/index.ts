/** The operator's command line. */
import { defineCommand, runMain } from 'citty'

import { ACTIONS } from './actions/index.js'

const main = defineCommand({
  meta: { name: 'bluebellhill', description: 'Operate a bluebellhill fleet' },
  subCommands: ACTIONS
})

/**
 * Runs the command line.
 *
 * @param args - the words after the program's name
 */
export const run = async (args: string[]): Promise<void> => {
  await runMain(main, { rawArgs: args })
}
