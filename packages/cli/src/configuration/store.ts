/** Connects to the configuration store at the addresses that the command line names, and reads values from it. */
import { isIPv4, isIPv6 } from 'node:net'

import { ConfigurationStore, describeFailure, FLEET_VALUE_NAME, HttpKeyValueService, HttpPool, loadSettings, organisationValueName } from '@bluebellhill/services'
import type { CallFailure, ConfigurationValue, Result } from '@bluebellhill/services'

import { ActionError, ExitCode } from '../terminal/index.js'
import { readText } from './files.js'

/** Environment variable with the addresses of the key-value service; read if neither `--platform` nor `--settings` is given. */
export const PLATFORM_VARIABLE = 'BLUEBELLHILL_PLATFORM'

export const PLATFORM_ARGS = {
  platform: { type: 'string', valueHint: 'ip:port,...', description: `addresses of the key-value service (else ${PLATFORM_VARIABLE})` },
  settings: { type: 'string', valueHint: 'file', description: 'settings file of a node, to read the addresses from' }
} as const

/** Options that name the addresses of the key-value service. */
export interface PlatformOptions {
  readonly platform?: string
  readonly settings?: string
}

const isAddress = (text: string): boolean => {
  const match = /^(?:\[(.+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  return match !== null && (isIPv6(match[1] ?? '') || isIPv4(match[2] ?? ''))
}

const addressesOf = async ({ platform, settings }: PlatformOptions): Promise<readonly string[]> => {
  const text = platform ?? (settings === undefined ? process.env[PLATFORM_VARIABLE] : undefined)
  if (text !== undefined && text !== '') return text.split(',').map((part) => part.trim()).filter((part) => part !== '')
  if (settings === undefined) return []
  const checked = loadSettings(await readText(settings), settings)
  if (!checked.ok) throw new ActionError(ExitCode.Failed, `${settings} is not valid`, `run "bluebellhill check ${settings}"`)
  return checked.value.platform.keyValue
}

/**
 * Runs a function with the configuration store and closes its connections afterwards.
 *
 * @param options - options that name the key-value service
 * @param run - the function
 * @returns the result of the function
 * @throws ActionError if no address is given or one is invalid
 */
export const withStore = async <Value>(options: PlatformOptions, run: (store: ConfigurationStore) => Promise<Value>): Promise<Value> => {
  const addresses = await addressesOf(options)
  const invalidAddress = addresses.find((address) => !isAddress(address))
  if (addresses.length === 0 || invalidAddress !== undefined) {
    const message = invalidAddress === undefined ? 'no address of the key-value service is given' : `"${invalidAddress}" is not an address`
    throw new ActionError(ExitCode.Usage, message, `give its addresses with --platform, --settings or ${PLATFORM_VARIABLE}, such as 10.0.0.1:2379`)
  }
  const pool = new HttpPool()
  try {
    return await run(new ConfigurationStore(new HttpKeyValueService(pool, addresses)))
  } finally {
    await pool.dispose()
  }
}

/**
 * Returns the value of a successful call to the store.
 *
 * @param result - result of the call
 * @returns the value
 * @throws ActionError if the call failed
 */
export const valueOrThrow = <Value>(result: Result<Value, CallFailure>): Value => {
  if (result.ok) return result.value
  throw new ActionError(ExitCode.Unreachable, `the key-value service did not answer (${describeFailure(result.failure)})`, 'check its address and that it runs; nodes keep the configuration that they have')
}

/**
 * Expands a name that the operator typed to the name of a stored value.
 *
 * @param text - `fleet`, an organisation's name, or the full name of a value
 * @returns the full name of the value
 */
export const valueNameOfText = (text: string): string =>
  text === FLEET_VALUE_NAME || text.includes('/') ? text : organisationValueName(text)

/**
 * Reads a stored value that must exist.
 *
 * @param store - the stored configuration
 * @param name - the value's name
 * @returns the value
 * @throws ActionError if the value does not exist or is not readable, or the store does not answer
 */
export const readValue = async (store: ConfigurationStore, name: string): Promise<ConfigurationValue> => {
  const stored = valueOrThrow(await store.read(name))
  if (stored === null) throw new ActionError(ExitCode.Failed, `there is no configuration "${name}"`, 'list all with "bluebellhill get"')
  if (stored.value === null) throw new ActionError(ExitCode.Failed, `what is stored as "${name}" was not written by bluebellhill`, 'replace it with "bluebellhill apply FILE"')
  return stored.value
}
