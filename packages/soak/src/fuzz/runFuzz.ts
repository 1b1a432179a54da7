/** One seeded fuzzing run: batches of odd values at all doors of a node, and checks after each. */
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import { Random } from '../Random.js'
import { AnswerDoor } from './AnswerDoor.js'
import { CallerDoor } from './CallerDoor.js'
import { findSilence } from './checks.js'
import { BATCH_INPUTS, MEMORY_BYTES, REST_MS, STOP_GRACE_S } from './constants.js'
import { DatagramDoor } from './DatagramDoor.js'
import type { Door } from './Door.js'
import { SettingsDoor, StoreDoor } from './furtherDoors.js'
import { FuzzFleet } from './FuzzFleet.js'
import { NodePortDoor } from './NodePortDoor.js'
import { OddValues } from './OddValues.js'
import { ConfigurationDoor, EntryDoor, EvacuationDoor } from './storeDoors.js'

const MS_PER_SECOND = 1_000
const NETWORKS = 200

/** Batches without any input after which a run ends. */
const MOST_EMPTY_BATCHES = 50

export interface FuzzOptions {
  readonly seed: number
  /** Number of inputs after which the run ends. */
  readonly inputs: number
  /** Time after which the run ends. */
  readonly seconds: number
  /** Names of the doors; empty for all. */
  readonly doors: readonly string[]
  /** Gets settings and logs. */
  readonly directory: string
  /** File of the node under test. */
  readonly program: string
}

export interface FuzzReport {
  /** Inputs that reached the node, by door. */
  readonly inputs: Readonly<Record<string, number>>
  /** What must not have happened. */
  readonly violations: readonly string[]
  /** Resident memory of the node after its start, the greatest after a batch, and after the rest at the end, in bytes. */
  readonly memory: { readonly start: number, readonly greatest: number, readonly end: number }
}

/**
 * Runs one seed. The order and the contents of the inputs follow from the seed; when they arrive does not.
 *
 * @param options - seed, size and places
 * @returns what was seen
 */
export const runFuzz = async (options: FuzzOptions): Promise<FuzzReport> => {
  const values = new OddValues(new Random(options.seed))
  const fleet = new FuzzFleet(`127.49.${process.pid % NETWORKS}`, join(options.directory, `fuzz-${options.seed}`), options.program, new OddValues(new Random(options.seed + 1)))
  const doors = [
    new CallerDoor(fleet, values), new EntryDoor(fleet, values), new AnswerDoor(fleet, values), new DatagramDoor(fleet, values), new ConfigurationDoor(fleet, values), new NodePortDoor(fleet, values), new StoreDoor(fleet, values),
    new EvacuationDoor(fleet, values), new SettingsDoor(fleet, values)
  ].filter(({ name }) => options.doors.length === 0 || options.doors.includes(name))
  try {
    await fleet.start()
    return await play(fleet, doors, options)
  } finally {
    for (const door of doors) door.dispose()
    await fleet.dispose()
  }
}

const play = async (fleet: FuzzFleet, doors: readonly Door[], { inputs, seconds }: FuzzOptions): Promise<FuzzReport> => {
  const counts: Record<string, number> = {}
  const violations: string[] = []
  const check = async (cause: string): Promise<void> => {
    const silence = await findSilence(fleet)
    if (silence !== null) violations.push(`after ${cause}: ${silence}`)
    violations.push(...fleet.unexpectedEnds.splice(0).map((end) => `after ${cause}: ${end}`))
  }
  await check('the start')
  const start = fleet.memory ?? 0
  let greatest = start
  const until = performance.now() + seconds * MS_PER_SECOND
  let emptyBatches = 0
  for (let index = 0, sent = 0; sent < inputs && emptyBatches < MOST_EMPTY_BATCHES && violations.length === 0 && performance.now() < until; index += 1) {
    const door = doors[index % doors.length]
    if (door === undefined) break
    const count = await door.send(Math.min(inputs - sent, BATCH_INPUTS[door.name] ?? 1))
    emptyBatches = count === 0 ? emptyBatches + 1 : 0
    sent += count
    counts[door.name] = (counts[door.name] ?? 0) + count
    violations.push(...door.faults)
    await check(`${sent} inputs, the last ones at the door ${door.name}`)
    greatest = Math.max(greatest, fleet.memory ?? 0)
  }
  await sleep(REST_MS)
  const end = fleet.memory ?? 0
  if (end > MEMORY_BYTES) violations.push(`${end} bytes of memory after a rest, more than the machine has`)
  await fleet.node.stop(STOP_GRACE_S * MS_PER_SECOND)
  violations.push(...fleet.unexpectedEnds)
  return { inputs: counts, violations, memory: { start, greatest, end } }
}
