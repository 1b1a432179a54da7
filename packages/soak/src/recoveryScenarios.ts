/** What happens at the moment at which all nodes of a fleet are lost or planned work begins, besides. */
import { setTimeout as sleep } from 'node:timers/promises'

import { StoreMode } from '@bluebellhill/platform-standin'

import { KEPT_KEY, REMOVED_KEY, STOP_GRACE_S } from './constants.js'
import type { Fleet } from './Fleet.js'
import { LinkMode } from './TcpProxy.js'

const MS_PER_SECOND = 1_000

/** Time between the loss of all nodes and their start. */
const DOWN_MS = 500

/** Time after the start until which the store is away. */
const STORE_AWAY_MS = 5_000

/** Configurations in quick succession, and the time between them. */
const CONFIGURATIONS = 10
const CONFIGURATION_PERIOD_MS = 300

/** Time between two SIGHUPs. */
const RELOAD_PERIOD_MS = 100

/** Nodes that are stopped at the same time, and the pause before the next ones. */
const STOPPED_TOGETHER = 3
const PAUSE_AFTER_STOP_MS = 500

export interface Scenario {
  /** Whether all nodes are killed and started before `disturb`; otherwise planned work is done in calm. */
  readonly isLoss: boolean
  /** Whether servers are cold after their start. */
  readonly isCold?: boolean
  /** Done while no node runs. */
  readonly prepare?: (fleet: Fleet) => Promise<void> | void
  /** Done once the nodes are started. */
  readonly disturb?: (fleet: Fleet) => Promise<void>
}

const configureOften = async (fleet: Fleet): Promise<void> => {
  for (let count = 0; count < CONFIGURATIONS; count += 1) {
    fleet.configure([KEPT_KEY, REMOVED_KEY])
    await sleep(CONFIGURATION_PERIOD_MS)
  }
}

const reloadAll = async (fleet: Fleet): Promise<void> => {
  for (const { process } of fleet.nodes) {
    process.reload()
    await sleep(RELOAD_PERIOD_MS)
  }
}

/** Stops nodes in turn, waits for their ends and starts them again. */
const stopInTurn = async ({ nodes }: Fleet): Promise<void> => {
  const work = async (first: number): Promise<void> => {
    for (let index = first; index < nodes.length; index += STOPPED_TOGETHER) {
      const process = nodes[index]?.process
      await process?.stop(STOP_GRACE_S * 2 * MS_PER_SECOND)
      await sleep(DOWN_MS)
      process?.start()
      await sleep(PAUSE_AFTER_STOP_MS)
    }
  }
  await Promise.all(Array.from({ length: STOPPED_TOGETHER }, async (_, first) => { await work(first) }))
}

export const SCENARIOS = {
  kill: { isLoss: true },
  storeSlow: { isLoss: true, prepare: ({ store }) => { store.latencyMs = 50 } },
  storeVerySlow: { isLoss: true, prepare: ({ store }) => { store.latencyMs = 500 } },
  storeBusy: {
    isLoss: true,
    prepare: ({ store }) => { store.mode = StoreMode.Busy },
    disturb: async ({ store }) => {
      await sleep(STORE_AWAY_MS)
      store.mode = StoreMode.Serving
    }
  },
  storeSilent: {
    isLoss: true,
    prepare: ({ nodes }) => { for (const { storeLink } of nodes) storeLink.setMode(LinkMode.Silent) },
    disturb: async ({ nodes }) => {
      await sleep(STORE_AWAY_MS)
      for (const { storeLink } of nodes) storeLink.setMode(LinkMode.Open)
    }
  },
  coldServers: {
    isLoss: true,
    isCold: true,
    prepare: async (fleet) => {
      await Promise.all(fleet.servers.map(async (server) => {
        await fleet.crashServer(server, 0)
        await fleet.startServer(server)
      }))
    }
  },
  newConfigurations: { isLoss: true, disturb: configureOften },
  reloadsAtStart: { isLoss: true, disturb: reloadAll },
  stopsInTurn: { isLoss: false, disturb: stopInTurn },
  reloads: { isLoss: false, disturb: reloadAll },
  reloadsAndConfigurations: { isLoss: false, disturb: async (fleet) => { await Promise.all([reloadAll(fleet), configureOften(fleet)]) } },
  stopsAndConfigurations: { isLoss: false, disturb: async (fleet) => { await Promise.all([stopInTurn(fleet), reloadAll(fleet), configureOften(fleet)]) } }
} as const satisfies Readonly<Record<string, Scenario>>
export type ScenarioName = keyof typeof SCENARIOS

/**
 * Kills all nodes and starts them again, or does nothing if the scenario is no loss.
 *
 * @param fleet - the fleet
 * @param scenario - what happens besides
 * @returns time of the start, in milliseconds on the process's monotonic clock
 */
export const loseAll = async (fleet: Fleet, { isLoss, prepare }: Scenario): Promise<number> => {
  if (isLoss) await Promise.all(fleet.nodes.map(async ({ process }) => { await process.kill() }))
  await Promise.all([prepare?.(fleet), sleep(isLoss ? DOWN_MS : 0)])
  if (isLoss) for (const { process } of fleet.nodes) process.start()
  return performance.now()
}
