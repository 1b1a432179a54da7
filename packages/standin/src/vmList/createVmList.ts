/** Puts the stand-in VM list together. */
import type { Disposable } from '../Disposables.js'
import { StandinServer } from '../http/StandinServer.js'
import { VmList } from './VmList.js'

/**
 * Makes the VM list.
 *
 * @param name - name in the ready line
 * @param lagMs - age of the answers, in milliseconds
 * @param listen - `ip:port`
 * @returns the frame; it listens after `start()`
 */
export const createVmList = (name: string, lagMs: number, listen: string): Disposable & { server: StandinServer, list: VmList } => {
  const list = new VmList(lagMs)
  const server = new StandinServer({
    name,
    listen,
    routes: list.routes,
    controlRoutes: list.controlRoutes,
    faults: list.faults,
    ledger: () => list.ledger(),
    faultsChanged: (service) => {
      if (list.faults.downMs > 0) service.goDown(list.faults.downMs)
      list.faults.downMs = 0
    }
  })
  return { server, list, dispose: async () => await server.dispose() }
}
