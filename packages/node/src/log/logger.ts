/** The node's log: one line of key=value pairs for each event. */
import { createLogger as createWinstonLogger, format, transports } from 'winston'
import type { Logger as WinstonLogger, transport } from 'winston'

import { Redactor } from './Redactor.js'

/** Severities, the gravest first. */
export const LogLevel = {
  Error: 'error',
  Warn: 'warn',
  Info: 'info',
  Debug: 'debug'
} as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Fields of a line. Objects are not written out: name what matters in fields of its own. */
export type LogFields = Readonly<Record<string, unknown>>

export interface LogOptions {
  readonly node: string
  readonly failureDomain: string
  readonly level: LogLevel
  readonly redactor?: Redactor
  /** Where lines go; standard error unless given. */
  readonly transport?: transport
}

const UNQUOTED_VALUE = /^[^\s"=\\]+$/

const INVALID_NAME_CHARACTERS = /[^A-Za-z0-9_.]/g

const quote = (value: string): string => UNQUOTED_VALUE.test(value) ? value : JSON.stringify(value)

/**
 * Writes fields as key=value pairs.
 *
 * @param fields - the fields in the order in which they are to stand
 * @param redactor - removes secrets and prompts
 * @returns one line without its line break
 */
export const formatFields = (fields: LogFields, redactor: Redactor): string =>
  Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name.replace(INVALID_NAME_CHARACTERS, '_')}=${quote(redactor.field(name, value))}`)
    .join(' ')

/** Writes one line of key=value pairs an event. */
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
   * Makes a log whose lines carry further fields.
   *
   * @param fields - stand in every line
   * @returns a log with the same output
   */
  child (fields: LogFields): Log {
    return new Log(this.winston, this.redactor, { ...this.base, ...fields })
  }

  /**
   * Removes a secret from every further line.
   *
   * @param secret - its plain text
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
 * @param options - the node, the level and the output
 * @returns the log; dispose it when the node stops
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
