/** Starts a node on the users' platform. */
import { SETTINGS_VARIABLE } from '@bluebellhill/platform'
import type { PlatformSettings } from '@bluebellhill/platform'

import { BoundedOutput, LogLevel, openLog } from '../log/index.js'
import type { Log } from '../log/index.js'
import { ForwardNode } from './ForwardNode.js'
import { readSettings, SettingsFile } from './SettingsFile.js'

const EXIT_BAD_SETTINGS = 1
const EXIT_FAILED = 2

/** Port of the metrics; the deploy file names it too. */
const METRICS_PORT = 9_464

const settingsAtStart = (file: string): PlatformSettings => {
  const settings = readSettings(file)
  if (settings.ok) return settings.value
  for (const { field, message } of settings.failure) process.stderr.write(`${file}: ${field}: ${message}\n`)
  process.exit(EXIT_BAD_SETTINGS)
}

const settingsPath = (): string => {
  const file = process.env[SETTINGS_VARIABLE]
  if (file !== undefined) return file
  process.stderr.write(`the environment variable ${SETTINGS_VARIABLE} names no settings file\n`)
  process.exit(EXIT_BAD_SETTINGS)
}

/** Runs a node until it is told to stop. */
export const runForwardNode = async (): Promise<void> => {
  const path = settingsPath()
  const settings = settingsAtStart(path)
  const output = new BoundedOutput()
  const log = openLog({ node: settings.node, failureDomain: settings.failureDomain, level: LogLevel.Info, transport: output })
  const exit = (code: number): void => { void output.flush().then(() => process.exit(code)) }
  endOnErrors(log, exit)
  const file = new SettingsFile(path, settings, log)
  const node = new ForwardNode({ settings: file, log, metrics: { host: settings.host, port: METRICS_PORT }, droppedLines: () => output.dropped })
  process.on('SIGTERM', () => { node.stop().then(() => exit(0), (error: unknown) => { report(log, error); exit(EXIT_FAILED) }) })
  process.on('SIGHUP', () => file.reload('SIGHUP'))
  await node.start()
  file.watch()
}

const endOnErrors = (log: Log, exit: (code: number) => void): void => {
  const end = (error: unknown): void => {
    report(log, error)
    exit(EXIT_FAILED)
  }
  process.on('uncaughtException', end)
  process.on('unhandledRejection', end)
}

const report = (log: Log, error: unknown): void => {
  log.error('node.failed', { reason: error instanceof Error ? error.stack ?? error.message : String(error) })
}
