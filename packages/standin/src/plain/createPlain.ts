/** Puts the stand-in plain service together. */
import type { Disposable } from '../Disposables.js'
import { StandinServer } from '../http/StandinServer.js'
import { PlainService } from './PlainService.js'
import type { PlainOptions } from './PlainService.js'

/**
 * Makes the plain service.
 *
 * @param options - its settings
 * @param listen - `ip:port`
 * @returns the frame; it listens after `start()`
 */
export const createPlain = (options: PlainOptions, listen: string): Disposable & { server: StandinServer, service: PlainService } => {
  const service = new PlainService(options)
  const server = new StandinServer({
    name: options.name,
    listen,
    routes: service.routes,
    faults: service.faults,
    ledger: () => service.ledger(),
    faultsChanged: (listener) => {
      if (service.faults.downMs > 0) listener.goDown(service.faults.downMs)
      service.faults.downMs = 0
    }
  })
  return { server, service, dispose: async () => await server.dispose() }
}
