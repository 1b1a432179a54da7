/** Puts the stand-in weight store together. */
import type { Disposable } from '../Disposables.js'
import { StandinServer } from '../http/StandinServer.js'
import { WeightStore } from './WeightStore.js'
import type { WeightStoreOptions } from './WeightStore.js'

/**
 * Makes the weight store.
 *
 * @param options - its settings
 * @param listen - `ip:port`
 * @returns the frame; it listens after `start()`
 */
export const createWeightStore = (options: WeightStoreOptions, listen: string): Disposable & { server: StandinServer } => {
  const store = new WeightStore(options)
  const server = new StandinServer({
    name: options.name,
    listen,
    routes: store.routes,
    faults: store.faults,
    ledger: () => store.ledger(),
    faultsChanged: (service) => {
      if (store.faults.downMs > 0) service.goDown(store.faults.downMs)
      store.faults.downMs = 0
    }
  })
  return {
    server,
    dispose: async () => {
      store.dispose()
      await server.dispose()
    }
  }
}
