/** Writes the node's log as one line of key=value pairs per event. */
import { createLogger as createWinstonLogger, format, transports } from 'winston'
import type { Logger as WinstonLogger, transport } from 'winston'

import { Redactor } from './Redactor.js'

/** Log levels, most severe first. */
export const LogLevel = {
  Error: 'error',
  Warn: 'warn',
  Info: 'info',
  Debug: 'debug'
} as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Fields of a line. Objects are redacted as a whole, so each relevant value needs its own field. */
export type LogFields = Readonly<Record<string, unknown>>

export interface LogOptions {
  readonly node: string
  readonly failureDomain: string
  readonly level: LogLevel
  readonly redactor?: Redactor
  /** Output of the lines; standard error by default. */
  readonly transport?: transport
}

const UNQUOTED_VALUE = /^[^\s"=\\]+$/

const INVALID_NAME_CHARACTERS = /[^A-Za-z0-9_.]/g

const quote = (value: string): string => UNQUOTED_VALUE.test(value) ? value : JSON.stringify(value)

/**
 * Formats fields as key=value pairs.
 *
 * @param fields - fields in the order of the output; undefined values are left out
 * @param redactor - removes secrets and prompts
 * @returns one line without a line break
 */
export const formatFields = (fields: LogFields, redactor: Redactor): string =>
  Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name.replace(INVALID_NAME_CHARACTERS, '_')}=${quote(redactor.field(name, value))}`)
    .join(' ')

/** Log with one line of key=value pairs per event. */
export class Log {
  constructor (
    private readonly winston: WinstonLogger,
    private readonly redactor: Redactor,
    private readonly base: LogFields
  ) {}

  error (event: string, fields: LogFields = {}): void {
    this.write(LogLevel.Error, event, fields)
  }

  warn (event: string, fields: LogFields = {}): void {
    this.write(LogLevel.Warn, event, fields)
  }

  info (event: string, fields: LogFields = {}): void {
    this.write(LogLevel.Info, event, fields)
  }

  debug (event: string, fields: LogFields = {}): void {
    this.write(LogLevel.Debug, event, fields)
  }

  /**
   * Creates a log that adds fields to every line.
   *
   * @param fields - fields of every line
   * @returns a log with the same output and redactor
   */
  child (fields: LogFields): Log {
    return new Log(this.winston, this.redactor, { ...this.base, ...fields })
  }

  /**
   * Registers a secret, which is then removed from every line.
   *
   * @param secret - plain text of the secret
   */
  addSecret (secret: string): void {
    this.redactor.addSecret(secret)
  }

  /** Closes the output. */
  dispose (): void {
    this.winston.close()
  }

  private write (level: LogLevel, event: string, fields: LogFields): void {
    if (!this.winston.isLevelEnabled(level)) return
    const line = formatFields({ time: new Date().toISOString(), level, ...this.base, event, ...fields }, this.redactor)
    this.winston.log(level, line)
  }
}

/**
 * Opens the node's log.
 *
 * @returns the log; the caller disposes it when the node stops
 */
export const openLog = (options: LogOptions): Log => {
  const winston = createWinstonLogger({
    level: options.level,
    format: format.printf((info) => String(info.message)),
    transports: [options.transport ?? new transports.Console({ stderrLevels: Object.values(LogLevel) })]
  })
  const base = { node: options.node, domain: options.failureDomain }
  return new Log(winston, options.redactor ?? new Redactor(), base)
}
