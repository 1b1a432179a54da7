/** Starts a node on the users' platform, and handles its signals. */
import { SETTINGS_VARIABLE } from '@bluebellhill/platform'
import type { PlatformSettings } from '@bluebellhill/platform'

import { monotonicNow } from '../clock/monotonic.js'
import { BoundedOutput, errorText, LogLevel, openLog } from '../log/index.js'
import type { Log } from '../log/index.js'
import { ForwardNode } from './ForwardNode.js'
import { readSettings, SettingsFile } from './SettingsFile.js'
import { UncaughtErrors } from './UncaughtErrors.js'

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
export const runForwardNode = (): void => {
  const path = settingsPathOrExit()
  const settings = loadSettingsOrExit(path)
  const output = new BoundedOutput()
  const log = openLog({ node: settings.node, failureDomain: settings.failureDomain, level: LogLevel.Info, transport: output })
  const exit = (code: number): void => { void output.flush().then(() => process.exit(code)) }
  const errors = new UncaughtErrors({ log, clock: monotonicNow, onBroken: () => exit(EXIT_FAILED) })
  for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, (error: unknown) => errors.record(error))
  const file = new SettingsFile(path, settings, log)
  const node = new ForwardNode({ settings: file, log, metricsAddress: { host: settings.host, port: METRICS_PORT }, droppedLogLines: () => output.dropped, uncaughtErrors: () => errors.count })
  const fail = (error: unknown): void => {
    logFailure(log, error)
    exit(EXIT_FAILED)
  }
  process.on('SIGTERM', () => { node.stop().then(() => exit(0), fail) })
  process.on('SIGHUP', () => file.reload('SIGHUP'))
  node.start().then(() => file.watch(), fail)
}

const logFailure = (log: Log, error: unknown): void => {
  log.error('node.failed', { reason: errorText(error) })
}
