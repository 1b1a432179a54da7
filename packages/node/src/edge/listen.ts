/** Binds HTTP servers to addresses of the form `ip:port`. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Host and port of an address. */
export interface Endpoint {
  readonly host: string
  readonly port: number
}

/**
 * Splits an address into host and port.
 *
 * @param address - `ip:port`
 * @returns host and port
 */
export const parseEndpoint = (address: string): Endpoint => {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/**
 * Makes a server listen.
 *
 * @param server - a server that does not listen yet
 * @param address - `ip:port`; port 0 selects a free port
 * @returns the address with the port in use
 * @throws Error if the address cannot be bound
 */
export const listen = async (server: Server, address: string): Promise<string> => {
  const { host, port } = parseEndpoint(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}
