/** Finds out whether this node reaches the backend servers of a service, by connections without a request. */
import { connect } from 'node:net'

import { ServiceReachability } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, Millis } from '@bluebellhill/domain'

import { waitingInputRead } from '../../clock/inputTurn.js'
import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'

/** Failure domains that one check connects to at the same time, by one server each. */
const CHECKED_DOMAINS = 3

/** Timeout of their connections. */
const CHECK_TIMEOUT: Millis = 150

/** Interval of the checks while a service is unreachable. */
const CHECK_PERIOD: Millis = 500

export interface ServiceChecksOptions {
  /** Failure domain of this node. */
  readonly failureDomain: FailureDomain
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Called for each server that cannot be reached while others of its service can. */
  readonly onServerUnreachable: (server: BackendServer) => void
}

/** Checks a service as soon as one connection to it fails, and again until it is reached. */
export class ServiceChecks {
  readonly #options: ServiceChecksOptions
  readonly #reachability = new ServiceReachability()
  /** Servers of services in doubt whose connections have failed. */
  readonly #unreached = new Map<string, Set<BackendServer>>()
  /** First checks that are under way, by service. */
  readonly #pending = new Map<string, Promise<void>>()
  readonly #timers = new Set<NodeJS.Timeout>()
  #turn = 0
  #isDisposed = false

  /** @param options - the servers, and who is told of them */
  constructor (options: ServiceChecksOptions) {
    this.#options = options
  }

  /** @returns whether this node reaches no server of a service */
  isUnreachable (service: string): boolean {
    return this.#reachability.isUnreachable(service)
  }

  /** @returns whether failed connections to a service say nothing of single servers */
  isInDoubt (service: string): boolean {
    return this.#reachability.isInDoubt(service)
  }

  /** Records that no connection to a server was established. */
  connectionFailed (server: BackendServer): void {
    const { service } = server
    const isNew = this.#reachability.connectionFailed(service, this.#options.clock())
    this.#unreached.set(service, (this.#unreached.get(service) ?? new Set()).add(server))
    if (!isNew) return
    const check = this.#check(service).finally(() => this.#pending.delete(service))
    this.#pending.set(service, check)
  }

  /** Waits for the check that a failed connection has begun, if it is under way. */
  async settled (service: string): Promise<void> {
    await this.#pending.get(service)
  }

  /**
   * Records that a server has sent data.
   *
   * @param server - the server
   * @param connectedAt - time at which the connection was begun
   */
  dataReceived ({ service, id }: BackendServer, connectedAt: Millis): void {
    if (this.#reachability.dataReceived(service, connectedAt)) this.#logReachable(service, id)
  }

  dispose (): void {
    this.#isDisposed = true
    for (const timer of this.#timers) clearTimeout(timer)
  }

  async #check (service: string): Promise<void> {
    const { clock, log, onServerUnreachable } = this.#options
    const servers = this.#nextServers(service)
    const reached = await firstConnectable(servers)
    if (this.#isDisposed) return
    const isChanged = this.#reachability.checked(service, reached !== null, clock())
    if (reached !== null) {
      if (isChanged) this.#logReachable(service, reached.id)
      for (const server of this.#unreached.get(service) ?? []) onServerUnreachable(server)
      this.#unreached.delete(service)
      return
    }
    if (isChanged) log.warn('service.unreachable', { service, servers: servers.map(({ id }) => id).join(',') })
    this.#checkLater(service)
  }

  #checkLater (service: string): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      if (this.#reachability.isUnreachable(service)) void this.#check(service)
    }, CHECK_PERIOD)
    this.#timers.add(timer)
  }

  /** Servers of different failure domains, since a node may be cut off from some of them only; another one of each domain in each check. */
  #nextServers (service: string): BackendServer[] {
    const byDomain = new Map<string, BackendServer[]>()
    const { servers, restrictions } = this.#options.fleetState
    for (const server of servers.ready(service).filter((candidate) => restrictions.permits(candidate))) byDomain.set(server.failureDomain, [...byDomain.get(server.failureDomain) ?? [], server])
    const turn = this.#turn++
    const { failureDomain } = this.#options
    const domains = [...byDomain.keys()].sort((a, b) => Number(b === failureDomain) - Number(a === failureDomain))
    return domains.slice(0, CHECKED_DOMAINS).flatMap((domain) => pickInTurn(byDomain.get(domain) ?? [], turn))
  }

  #logReachable (service: string, server: string | undefined): void {
    this.#options.log.info('service.reachable', { service, server })
  }
}

const pickInTurn = (servers: readonly BackendServer[], turn: number): BackendServer[] => servers.slice(turn % servers.length).slice(0, 1)

/** @returns the first of the servers that accepts a connection; null if none does in time */
const firstConnectable = async (servers: readonly BackendServer[]): Promise<BackendServer | null> =>
  await Promise.any(servers.map(connectTo)).catch(() => null)

/** @throws Error if no connection is established in time */
const connectTo = async (server: BackendServer): Promise<BackendServer> => {
  const [host = '', port = ''] = server.address.split(':')
  return await new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) })
    const end = (settle: () => void): void => {
      clearTimeout(timer)
      socket.destroy()
      settle()
    }
    const timer = setTimeout(() => { void waitingInputRead().then(() => end(() => reject(new Error('timeout')))) }, CHECK_TIMEOUT)
    socket.once('connect', () => end(() => resolve(server)))
    socket.on('error', (error) => end(() => reject(error)))
  })
}
