/** Clients of backend servers, one for each address. */

/**
 * Remembers what was made for an address.
 *
 * @param make - makes the client of an address
 * @returns gives the same client for the same address
 */
export const perAddress = <Client>(make: (address: string) => Client): ((address: string) => Client) => {
  const clients = new Map<string, Client>()
  return (address) => {
    const known = clients.get(address)
    if (known !== undefined) return known
    const client = make(address)
    clients.set(address, client)
    return client
  }
}
