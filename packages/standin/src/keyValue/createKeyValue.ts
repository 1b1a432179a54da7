/** Puts the stand-in key-value service together. */
import { Disposables } from '../Disposables.js'
import { StandinServer } from '../http/StandinServer.js'
import { KeyValueServer } from './KeyValueServer.js'
import type { KeyValueOptions } from './KeyValueServer.js'

const EXPIRY_CHECK_MS = 100

/**
 * Makes the service.
 *
 * @param options - its settings
 * @param listen - `ip:port`
 * @returns the frame; it listens after `start()`
 */
export const createKeyValue = (options: KeyValueOptions, listen: string): { server: StandinServer, keyValue: KeyValueServer, dispose: () => Promise<void> } => {
  const owned = new Disposables()
  const keyValue = new KeyValueServer(options)
  const timer = setInterval(() => keyValue.tick(), EXPIRY_CHECK_MS)
  owned.defer(() => clearInterval(timer))
  const server = owned.add(new StandinServer({
    name: options.name,
    listen,
    routes: keyValue.routes,
    faults: keyValue.faults,
    ledger: () => keyValue.ledger(),
    faultsChanged: (service) => keyValue.faultsChanged(service)
  }))
  return { server, keyValue, dispose: async () => await owned.dispose() }
}
