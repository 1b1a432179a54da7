/** Reads the platform's settings file, and reads it again after a signal or when the file has changed. */
import { readFileSync, unwatchFile, watchFile } from 'node:fs'

import { applyEnvironment, parseSettings } from '@bluebellhill/platform'
import type { PlatformSettings, SettingsProblem } from '@bluebellhill/platform'
import { failed } from '@bluebellhill/services'
import type { Result } from '@bluebellhill/services'
import type { Millis } from '@bluebellhill/domain'

import type { Log } from '../log/index.js'

/** Interval at which the file is checked for changes. */
const POLL_PERIOD: Millis = 2_000

/** Settings that take effect without a restart. */
const RELOADABLE_SETTINGS: ReadonlyArray<keyof PlatformSettings> = ['stopGrace', 'retryRatio', 'retrySlack', 'hedgingMaxRatio']

/**
 * Reads a settings file, and the environment variables for what it leaves out.
 *
 * @param path - path of the file
 * @param environment - environment variables of the process
 * @returns the settings, or a problem for each invalid field
 */
export const readSettings = (path: string, environment: Readonly<Record<string, string | undefined>> = process.env): Result<PlatformSettings, readonly SettingsProblem[]> => {
  try {
    const settings = parseSettings(readFileSync(path, 'utf8'))
    return settings.ok ? applyEnvironment(settings.value, environment) : settings
  } catch (error) {
    return failed([{ field: 'file', message: error instanceof Error ? error.message : String(error) }])
  }
}

/** Provides the settings in force. */
export class SettingsFile {
  #settings: PlatformSettings

  /**
   * @param path - path of the file
   * @param settings - settings that were read from it at the start
   * @param log - receives a line for each reload
   */
  constructor (private readonly path: string, settings: PlatformSettings, private readonly log: Log) {
    this.#settings = settings
  }

  /** The settings in force. */
  get current (): PlatformSettings {
    return this.#settings
  }

  /** Starts to check the file for changes. */
  watch (): void {
    watchFile(this.path, { interval: POLL_PERIOD, persistent: false }, () => this.reload('change'))
  }

  dispose (): void {
    unwatchFile(this.path)
  }

  /**
   * Reads the file again. An invalid file leaves the settings unchanged.
   *
   * @param cause - why the file is read again, for the log
   */
  reload (cause: string): void {
    const settings = readSettings(this.path)
    if (!settings.ok) {
      const problems = settings.failure.map(({ field, message }) => `${field}: ${message}`).join('; ')
      this.log.error('settings.unusable', { cause, problems })
      return
    }
    const changed = changedFields(this.#settings, settings.value)
    const applied = changed.filter((field) => RELOADABLE_SETTINGS.includes(field))
    const deferred = changed.filter((field) => !RELOADABLE_SETTINGS.includes(field))
    const { stopGrace, retryRatio, retrySlack, hedgingMaxRatio } = settings.value
    this.#settings = { ...this.#settings, stopGrace, retryRatio, retrySlack, hedgingMaxRatio }
    this.log.info('settings.reloaded', { cause, applied: applied.join(',') || undefined, after_restart: deferred.join(',') || undefined })
  }
}

const changedFields = (before: PlatformSettings, after: PlatformSettings): Array<keyof PlatformSettings> =>
  (Object.keys(after) as Array<keyof PlatformSettings>).filter((field) => JSON.stringify(before[field]) !== JSON.stringify(after[field]))
