/** Builds the components of a node that do not depend on the fleet and that the other components use. */
import { start as startActors, stop as stopActors } from 'nact'
import type { Ref } from 'nact'

import { HttpModelEngine, HttpPlainService, HttpPool } from '@bluebellhill/services'
import { HybridClock } from '@bluebellhill/protocol'
import type { PlatformStatus } from '@bluebellhill/protocol'

import { RunnerDirectory } from '../dispatch/RunnerDirectory.js'
import { Metrics } from '../metrics/index.js'
import { PeerAuthenticator } from '../peers/PeerAuthenticator.js'
import { PeerClients } from '../peers/PeerClients.js'
import { PrefixHasher } from '../requests/PrefixHasher.js'
import { TokenEstimator } from '../requests/TokenEstimator.js'
import { DisposableStore } from '../store/index.js'
import { TimeLine, logEvents } from '../timeline/index.js'
import type { BackendClients } from './dispatchAdapters.js'
import { memoizeByAddress } from './memoizeByAddress.js'
import type { DaemonOptions } from './types.js'

/** Components that do not depend on the fleet. */
export interface BaseComponents {
  readonly options: DaemonOptions
  /** Releases everything that the node has opened when it stops. */
  readonly store: DisposableStore
  readonly timeLine: TimeLine
  readonly metrics: Metrics
  /** Parent of the node's actors. */
  readonly actors: Ref<unknown>
  readonly directory: RunnerDirectory
  readonly authenticator: PeerAuthenticator
  readonly peers: PeerClients
  readonly pool: HttpPool
  readonly backends: BackendClients
  readonly hasher: PrefixHasher
  readonly estimator: TokenEstimator
  /** Last known status of the platform's services, by name. */
  readonly platform: Map<string, PlatformStatus>
}

/**
 * Builds the components that do not depend on the fleet.
 *
 * @param options - settings of the node
 */
export const buildBaseComponents = async (options: DaemonOptions): Promise<BaseComponents> => {
  const store = new DisposableStore()
  const pool = new HttpPool()
  store.addCleanup(() => pool.dispose())
  const authenticator = new PeerAuthenticator(options.secrets, () => Date.now())
  const actors = startActors()
  store.addCleanup(() => stopActors(actors))
  const timeLine = new TimeLine(options.node, new HybridClock(() => Date.now()))
  for (const secret of [...options.secrets, ...options.adminSecrets ?? []]) options.log.addSecret(secret)
  store.add(logEvents(timeLine, options.log))
  const metrics = new Metrics()
  metrics.observeProcess()
  return {
    options,
    store,
    pool,
    actors: actors as Ref<unknown>,
    timeLine,
    metrics,
    directory: new RunnerDirectory(options.runners),
    authenticator,
    peers: store.add(new PeerClients(authenticator)),
    backends: {
      engine: memoizeByAddress((address) => new HttpModelEngine(pool, address)),
      service: memoizeByAddress((address) => new HttpPlainService(pool, address))
    },
    hasher: await PrefixHasher.create(),
    estimator: new TokenEstimator(),
    platform: new Map()
  }
}
