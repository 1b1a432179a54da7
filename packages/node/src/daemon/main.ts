/** Defines the command `bluebellhilld`, which runs one node. */
import { readFile } from 'node:fs/promises'

import { formatProblem, loadSettings } from '@bluebellhill/services'
import type { Configuration, Settings } from '@bluebellhill/services'
import { defineCommand, runMain } from 'citty'

import { openLog } from '../log/index.js'
import { loadConfigurationFiles } from './configurationFiles.js'
import { Daemon } from './Daemon.js'
import { toDaemonOptions } from './toDaemonOptions.js'
import { VERSION } from './version.js'

const EXIT_BAD_SETTINGS = 1

const command = defineCommand({
  meta: { name: 'bluebellhilld', version: VERSION, description: 'Runs one bluebellhill node' },
  args: {
    settings: { type: 'string', required: true, description: 'YAML file with the settings of this node' },
    configuration: { type: 'string', default: '', description: 'Configuration files, separated by commas, for a setup without a key-value service' }
  },
  run: async ({ args }) => { await serve(args.settings, args.configuration) }
})

/**
 * Runs the daemon until it receives SIGTERM or SIGINT.
 *
 * @param args - command line arguments without the program's name
 */
export const runDaemon = async (args: string[]): Promise<void> => {
  await runMain(command, { rawArgs: args })
}

const serve = async (settingsFile: string, configurationFiles: string): Promise<void> => {
  const stopRequested = new Promise<void>((resolve) => { for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => resolve()) })
  const settings = await readSettings(settingsFile)
  const fixedConfiguration = await loadConfigurationFiles(configurationFiles.split(',').filter((file) => file !== ''))
  const daemon = await startDaemon(settings, fixedConfiguration)
  // A signal during the start would otherwise end the process, which may already have accepted requests.
  void stopRequested.then(() => stopAndExit(daemon))
  process.stdout.write(`${JSON.stringify({ ready: true, name: settings.name, ...daemon.addresses })}\n`)
}

const startDaemon = async (settings: Settings, fixedConfiguration: Configuration | null): Promise<Daemon> => {
  const log = openLog({ node: settings.name, failureDomain: settings.failureDomain, level: settings.log.level })
  return await Daemon.start(toDaemonOptions(settings, fixedConfiguration, log))
}

const stopAndExit = (daemon: Daemon): void => {
  daemon.stop().then(() => process.exit(0), () => process.exit(1))
}

const readSettings = async (file: string): Promise<Settings> => {
  const result = loadSettings(await readFile(file, 'utf8'), file)
  if (result.ok) return result.value
  for (const problem of result.failure) process.stderr.write(`${formatProblem(problem)}\n`)
  process.exit(EXIT_BAD_SETTINGS)
}
