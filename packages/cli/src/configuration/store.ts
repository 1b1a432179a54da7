/** The stored configuration, as the command line reaches it. */
import { isIPv4, isIPv6 } from 'node:net'

import { ConfigurationStore, describeFailure, FLEET_VALUE_NAME, HttpKeyValueService, HttpPool, loadSettings, organisationValueName } from '@bluebellhill/services'
import type { CallFailure, ConfigurationValue, Result } from '@bluebellhill/services'

import { ActionError, ExitCode } from '../terminal/index.js'
import { readText } from './files.js'

/** Environment variable with the addresses of the key-value service, where `--platform` is not given. */
export const PLATFORM_VARIABLE = 'BLUEBELLHILL_PLATFORM'

export const PLATFORM_ARGS = {
  platform: { type: 'string', valueHint: 'ip:port,...', description: `addresses of the key-value service (else ${PLATFORM_VARIABLE})` },
  settings: { type: 'string', valueHint: 'file', description: 'settings of a node, to take the addresses from' }
} as const

/** What an action was given to find the store. */
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
 * Runs a piece of work with the store and lets go of its connections.
 *
 * @param options - where the key-value service is
 * @param run - the work
 * @returns what the work returns
 * @throws ActionError where no address is given or one is wrong
 */
export const withStore = async <Value>(options: PlatformOptions, run: (store: ConfigurationStore) => Promise<Value>): Promise<Value> => {
  const addresses = await addressesOf(options)
  const wrong = addresses.find((address) => !isAddress(address))
  if (addresses.length === 0 || wrong !== undefined) {
    const message = wrong === undefined ? 'no key-value service was named' : `"${wrong}" is not an address`
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
 * Takes the value out of an answer of the store.
 *
 * @param result - the answer
 * @returns the value
 * @throws ActionError where the store did not answer
 */
export const answered = <Value>(result: Result<Value, CallFailure>): Value => {
  if (result.ok) return result.value
  throw new ActionError(ExitCode.Unreachable, `the key-value service did not answer (${describeFailure(result.failure)})`, 'check its address and that it runs; nodes go on with the configuration that they have')
}

/**
 * Completes a name that the operator typed.
 *
 * @param text - `fleet`, an organisation's name, or a value's whole name
 * @returns the value's name
 */
export const valueNameOfText = (text: string): string =>
  text === FLEET_VALUE_NAME || text.includes('/') ? text : organisationValueName(text)

/**
 * Reads a value that has to be there.
 *
 * @param store - the stored configuration
 * @param name - the value's name
 * @returns the value
 * @throws ActionError where there is none
 */
export const readValue = async (store: ConfigurationStore, name: string): Promise<ConfigurationValue> => {
  const stored = answered(await store.read(name))
  if (stored === null) throw new ActionError(ExitCode.Failed, `there is no configuration "${name}"`, 'list all with "bluebellhill get"')
  if (stored.value === null) throw new ActionError(ExitCode.Failed, `what is stored as "${name}" was not written by bluebellhill`, 'replace it with "bluebellhill apply FILE"')
  return stored.value
}
