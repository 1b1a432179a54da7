/** Draws a series of overlapping faults, each of which ends before the recovery is checked. */
import { setTimeout as sleep } from 'node:timers/promises'

import { BackendFault, StoreMode } from '@bluebellhill/platform-standin'

import { FAULTS_FROM_MS, FAULTS_UNTIL_MS, KEPT_KEY, LEASE_MS, REMOVED_KEY, STOP_GRACE_S } from './constants.js'
import type { Fleet, FleetNode, Server } from './Fleet.js'
import type { Random } from './Random.js'
import { isReady } from './Readiness.js'
import { LinkMode } from './TcpProxy.js'
import type { FaultStep } from './types.js'

/** Faults of one soak. */
const FEWEST = 5
const MOST = 10

/** Duration of a fault, in milliseconds. */
const SHORTEST_MS = 300
const LONGEST_MS = 2_500

/** Time after a node is ready again from which the checks apply to it. */
const NODE_RECOVERY_MS = 1_500

/** Time within which a node that was started or resumed must be ready; the platform sends it no callers before. */
const READY_LIMIT_MS = 10_000

const READY_CHECK_PERIOD_MS = 50

const MS_PER_SECOND = 1_000

type Fault = (fleet: Fleet, random: Random, lasts: number) => { readonly name: string, readonly run: () => Promise<void> }

/** Waits until a node reports that it is ready, at most for the limit: the checks then apply to it although it is not ready. */
const untilReady = async ({ host }: FleetNode): Promise<void> => {
  const until = performance.now() + READY_LIMIT_MS
  while (performance.now() < until) {
    if (await isReady(host, READY_LIMIT_MS)) return
    await sleep(READY_CHECK_PERIOD_MS)
  }
}

const nodeFault = (name: string, act: (node: FleetNode, lasts: number) => Promise<void>): Fault => (fleet, random, lasts) => {
  const node = random.pick(fleet.nodes)
  return {
    name: `${name} ${node.process.name}`,
    run: async () => {
      if (!node.process.isRunning) return
      const outage = node.process.beginOutage()
      await act(node, lasts)
      await untilReady(node)
      outage.until = performance.now() + NODE_RECOVERY_MS
    }
  }
}

const killNode = nodeFault('kill', async ({ process }, lasts) => {
  await process.kill()
  await sleep(lasts)
  process.start()
})

const pauseNode = nodeFault('pause', async ({ process }, lasts) => {
  process.pause()
  await sleep(lasts)
  process.resume()
})

const stopNode = nodeFault('stop', async ({ process }, lasts) => {
  await process.stop(STOP_GRACE_S * MS_PER_SECOND)
  await sleep(lasts)
  process.start()
})

const reloadNode: Fault = (fleet, random) => {
  const { process } = random.pick(fleet.nodes)
  return { name: `reload ${process.name}`, run: async () => process.reload() }
}

const serverFault = (name: string, act: (fleet: Fleet, server: Server, lasts: number, random: Random) => Promise<void>): Fault => (fleet, random, lasts) => {
  const server = random.pick(fleet.servers)
  return { name: `${name} server ${server.index}`, run: async () => { await act(fleet, server, lasts, random) } }
}

const crashServer = serverFault('crash', async (fleet, server, lasts) => {
  if (server.standin === null) return
  await fleet.crashServer(server, LEASE_MS)
  await sleep(lasts)
  await fleet.startServer(server)
})

const drainServer = serverFault('drain', async (fleet, server) => {
  if (server.standin === null || server.drainingSince !== null) return
  fleet.drainServer(server)
  await sleep(LONGEST_MS)
  const { standin } = server
  if (standin === null) return
  await fleet.crashServer(server, 0)
  await fleet.startServer(server)
})

/** Applies a fault of the stand-in to a server for a time. */
export const applyServerFault = (fault: BackendFault): Fault => serverFault(fault, async (_, { standin }, lasts) => {
  if (standin === null) return
  standin.fault = fault
  await sleep(lasts)
  standin.fault = BackendFault.None
})

const disruptServerLink = (mode: LinkMode): Fault => serverFault(`${mode} link of`, async (_, { proxy }, lasts) => {
  proxy.setMode(mode)
  await sleep(lasts)
  proxy.setMode(LinkMode.Open)
})

const cutServerLink: Fault = serverFault('cut connections of', async (_, { proxy }) => proxy.cut())

const disruptStoreLink = (mode: LinkMode): Fault => (fleet, random, lasts) => {
  const { storeLink, process } = random.pick(fleet.nodes)
  return {
    name: `${mode} store link of ${process.name}`,
    run: async () => {
      storeLink.setMode(mode)
      await sleep(lasts)
      storeLink.setMode(LinkMode.Open)
    }
  }
}

const applyStoreMode = (mode: StoreMode): Fault => ({ store }, _, lasts) => ({
  name: `store ${mode}`,
  run: async () => {
    store.mode = mode
    await sleep(lasts)
    store.mode = StoreMode.Serving
  }
})

const forgetHistory: Fault = ({ store }) => ({ name: 'store forgets its history', run: async () => store.discardHistory() })

const configure: Fault = (fleet) => ({ name: 'new configuration', run: async () => fleet.configure([KEPT_KEY, REMOVED_KEY]) })

const FAULTS: readonly Fault[] = [
  killNode, killNode, pauseNode, pauseNode, stopNode, stopNode, reloadNode,
  crashServer, crashServer, drainServer, cutServerLink,
  ...[BackendFault.Errors, BackendFault.Hang, BackendFault.CutAnswers, BackendFault.LoseAnswers, BackendFault.SurplusBytes, BackendFault.Shed, BackendFault.Slow].map(applyServerFault),
  ...[LinkMode.Reset, LinkMode.Silent, LinkMode.OneWay, LinkMode.Delayed].map(disruptServerLink),
  ...[LinkMode.Reset, LinkMode.Silent, LinkMode.OneWay, LinkMode.Delayed].map(disruptStoreLink),
  ...[StoreMode.Busy, StoreMode.AnswersLost].map(applyStoreMode),
  forgetHistory, configure
]

/**
 * @param fleet - the fleet in which the faults occur
 * @param random - draws kinds, targets and times
 * @returns the steps by time
 */
export const drawFaults = (fleet: Fleet, random: Random): FaultStep[] => {
  const count = random.between(FEWEST, MOST)
  const steps = Array.from({ length: count }, () => {
    const lasts = random.between(SHORTEST_MS, LONGEST_MS)
    const at = random.between(FAULTS_FROM_MS, FAULTS_UNTIL_MS - lasts)
    return { at, ...random.pick(FAULTS)(fleet, random, lasts) }
  })
  return steps.sort((a, b) => a.at - b.at)
}
