/** Starts a node on the users' platform, and handles its signals and uncaught errors. */
import { SETTINGS_VARIABLE } from '@bluebellhill/platform'
import type { PlatformSettings } from '@bluebellhill/platform'

import { BoundedOutput, LogLevel, openLog } from '../log/index.js'
import type { Log } from '../log/index.js'
import { ForwardNode } from './ForwardNode.js'
import { readSettings, SettingsFile } from './SettingsFile.js'

const EXIT_BAD_SETTINGS = 1
const EXIT_FAILED = 2

/** Port of the metrics; the deploy file contains it too. */
const METRICS_PORT = 9_464

const loadSettingsOrExit = (file: string): PlatformSettings => {
  const settings = readSettings(file)
  if (settings.ok) return settings.value
  for (const { field, message } of settings.failure) process.stderr.write(`${file}: ${field}: ${message}\n`)
  process.exit(EXIT_BAD_SETTINGS)
}

const settingsPathOrExit = (): string => {
  const file = process.env[SETTINGS_VARIABLE]
  if (file !== undefined) return file
  process.stderr.write(`the environment variable ${SETTINGS_VARIABLE} is not set; it must contain the path of the settings file\n`)
  process.exit(EXIT_BAD_SETTINGS)
}

/** Runs a node until it receives SIGTERM. */
export const runForwardNode = async (): Promise<void> => {
  const path = settingsPathOrExit()
  const settings = loadSettingsOrExit(path)
  const output = new BoundedOutput()
  const log = openLog({ node: settings.node, failureDomain: settings.failureDomain, level: LogLevel.Info, transport: output })
  const exit = (code: number): void => { void output.flush().then(() => process.exit(code)) }
  exitOnUncaughtErrors(log, exit)
  const file = new SettingsFile(path, settings, log)
  const node = new ForwardNode({ settings: file, log, metricsAddress: { host: settings.host, port: METRICS_PORT }, droppedLogLines: () => output.dropped })
  process.on('SIGTERM', () => { node.stop().then(() => exit(0), (error: unknown) => { logFailure(log, error); exit(EXIT_FAILED) }) })
  process.on('SIGHUP', () => file.reload('SIGHUP'))
  await node.start()
  file.watch()
}

const exitOnUncaughtErrors = (log: Log, exit: (code: number) => void): void => {
  const exitWithError = (error: unknown): void => {
    logFailure(log, error)
    exit(EXIT_FAILED)
  }
  process.on('uncaughtException', exitWithError)
  process.on('unhandledRejection', exitWithError)
}

const logFailure = (log: Log, error: unknown): void => {
  log.error('node.failed', { reason: error instanceof Error ? error.stack ?? error.message : String(error) })
}
