/** Keeps one client for each address of a backend server. */

/**
 * Memoizes a factory of clients by address. Clients are never removed.
 *
 * @param create - creates the client of an address
 * @returns a function that returns the same client for the same address
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
