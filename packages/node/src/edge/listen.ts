/** Binds HTTP servers. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** The two parts of `ip:port`. */
export interface Endpoint {
  readonly host: string
  readonly port: number
}

/**
 * Splits an address.
 *
 * @param address - `ip:port`
 * @returns its parts
 */
export const parseEndpoint = (address: string): Endpoint => {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/**
 * Starts a server.
 *
 * @param server - not yet listening
 * @param address - `ip:port`; port 0 takes a free one
 * @returns the address in use
 * @throws Error where the address cannot be bound
 */
export const listen = async (server: Server, address: string): Promise<string> => {
  const { host, port } = parseEndpoint(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}
