/** Parses the admin addresses of the nodes that an action calls. */
import { isIPv4, isIPv6 } from 'node:net'

import { ActionError, ExitCode } from '../terminal/index.js'

/** Environment variable with the nodes' admin addresses; read if `--nodes` is not given. */
export const NODES_VARIABLE = 'BLUEBELLHILL_NODES'

/** Environment variable with the secret that authorises calls to admin addresses. */
export const ADMIN_SECRET_VARIABLE = 'BLUEBELLHILL_ADMIN_SECRET'

const MAX_PORT = 65_535
const ADDRESS_EXAMPLE = 'such as 10.0.0.1:7401,10.0.0.2:7401'

const isAddress = (text: string): boolean => {
  const colon = text.lastIndexOf(':')
  const host = text.slice(0, colon).replace(/^\[(.*)\]$/, '$1')
  const port = Number(text.slice(colon + 1))
  return colon > 0 && (isIPv4(host) || isIPv6(host)) && Number.isInteger(port) && port > 0 && port <= MAX_PORT
}

/**
 * Parses the admin addresses from the option or the environment.
 *
 * @param option - the value of `--nodes`
 * @param environment - environment variables
 * @returns the addresses as `ip:port`, without duplicates
 * @throws ActionError if there are none, or one is not an IP address with a port
 */
export const parseNodeAddresses = (option: string | undefined, environment: Readonly<Record<string, string | undefined>>): string[] => {
  const text = option ?? environment[NODES_VARIABLE] ?? ''
  const addresses = [...new Set(text.split(',').map((part) => part.trim()).filter((part) => part !== ''))]
  if (addresses.length === 0) {
    throw new ActionError(ExitCode.Usage, 'no nodes are given', `give their admin addresses with --nodes or ${NODES_VARIABLE}, ${ADDRESS_EXAMPLE}`)
  }
  const invalidAddress = addresses.find((address) => !isAddress(address))
  if (invalidAddress !== undefined) {
    throw new ActionError(ExitCode.Usage, `"${invalidAddress}" is not an admin address`, `write each as an IP address and a port, ${ADDRESS_EXAMPLE}`)
  }
  return addresses
}
