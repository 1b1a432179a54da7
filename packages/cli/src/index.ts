/** Entry point of the `bluebellhill` command line for operators. */
import { defineCommand } from 'citty'

import { ACTIONS } from './actions/index.js'
import { runCommandLine } from './terminal/index.js'

const main = defineCommand({
  meta: { name: 'bluebellhill', description: 'Operate a bluebellhill fleet' },
  subCommands: ACTIONS
})

/**
 * Runs the command line.
 *
 * @param args - the arguments after the program's name
 */
export const run = (args: string[]): Promise<void> => runCommandLine(main, ACTIONS, args)
