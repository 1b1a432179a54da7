/** The process frame of a stand-in: its service, its control address and its ready line. */
import { Disposables } from '../Disposables.js'
import type { Disposable } from '../Disposables.js'
import { setFaults } from '../faults.js'
import { HttpServer } from './HttpServer.js'
import { readJson, sendJson } from './messages.js'
import type { Routes } from './types.js'

/** What a stand-in brings to its frame. */
export interface StandinParts {
  readonly name: string
  /** `ip:port`; port 0 takes any free one. */
  readonly listen: string
  readonly routes: Routes
  /** Further routes of the control address. */
  readonly controlRoutes?: Routes
  readonly faults: object
  /** Record of what truly ran. */
  readonly ledger: () => unknown
  /** Called after switches were set. */
  readonly faultsChanged?: (server: HttpServer) => void
}

/** Two listeners: the service, which faults may take down, and the control address, which always answers. */
export class StandinServer implements Disposable {
  private readonly owned = new Disposables()
  private readonly service: HttpServer
  private readonly control: HttpServer

  /**
   * @param parts - the stand-in
   */
  constructor (private readonly parts: StandinParts) {
    const control = this.controlRoutes()
    const host = parts.listen.slice(0, parts.listen.lastIndexOf(':'))
    this.service = this.owned.add(new HttpServer(host, { ...parts.routes, ...control }))
    this.control = this.owned.add(new HttpServer(host, control))
  }

  /**
   * Listens.
   *
   * @returns the addresses of the service and of the control listener
   */
  async start (): Promise<{ address: string, control: string }> {
    const port = Number(this.parts.listen.slice(this.parts.listen.lastIndexOf(':') + 1))
    return { address: await this.service.listen(port), control: await this.control.listen(0) }
  }

  /** Listens and prints the ready line. */
  async announce (): Promise<void> {
    const addresses = await this.start()
    console.log(JSON.stringify({ ready: true, name: this.parts.name, ...addresses }))
  }

  async dispose (): Promise<void> {
    await this.owned.dispose()
  }

  private controlRoutes (): Routes {
    const { faults, ledger, faultsChanged } = this.parts
    return {
      ...this.parts.controlRoutes,
      'GET /ledger': ({ response }) => sendJson(response, 200, ledger()),
      'POST /faults': async ({ request, response }) => {
        setFaults(faults, await readJson(request))
        faultsChanged?.(this.service)
        sendJson(response, 200, faults)
      }
    }
  }
}
