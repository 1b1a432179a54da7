/** Clients of backend servers, one for each address. */

/**
 * Memoizes a factory of clients by address. Clients are never removed.
 *
 * @param create - makes the client of an address
 * @returns function that gives the same client for the same address
 */
export const memoizeByAddress = <Client>(create: (address: string) => Client): ((address: string) => Client) => {
  const clients = new Map<string, Client>()
  return (address) => {
    const existing = clients.get(address)
    if (existing !== undefined) return existing
    const client = create(address)
    clients.set(address, client)
    return client
  }
}
