/** Passes requests on to other nodes while this node reaches no backend server of their service. */
import type { BackendServer, FailureDomain, Millis, NodeId, Region, SchedulerDirectory } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import type { FleetState } from '../FleetState.js'
import { RelayPeers } from './RelayPeers.js'
import type { RelayPeer } from './RelayPeers.js'
import { ServiceChecks } from './ServiceChecks.js'

export interface RelayOptions {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Called for each server that cannot be reached while others of its service can. */
  readonly onServerUnreachable: (server: BackendServer) => void
}

/** What this node reaches itself, and the nodes that reach the rest. */
export class Relay {
  /** This node. */
  readonly node: NodeId
  readonly checks: ServiceChecks
  readonly peers: RelayPeers

  /** @param options - this node, the others and the servers */
  constructor (options: RelayOptions) {
    this.node = options.node
    this.checks = new ServiceChecks(options)
    this.peers = new RelayPeers(options)
  }

  /**
   * @param service - name of the service
   * @param regions - the only regions that the request may reach; absent if it may reach all
   * @returns the node to pass a request on to; null if this node sends it itself
   */
  peerFor (service: string, regions?: readonly Region[]): RelayPeer | null {
    return this.checks.isUnreachable(service) ? this.peers.choose(service, regions) : null
  }

  dispose (): void {
    this.checks.dispose()
  }
}
