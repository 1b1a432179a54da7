/** Starts one stand-in or the load tool. */
import { defineCommand, runMain } from 'citty'

import { COMMANDS } from './commands/index.js'

const main = defineCommand({
  meta: { name: 'standin', description: 'Stand-ins of what surrounds bluebellhill, and a load tool' },
  subCommands: COMMANDS
})

await runMain(main)
