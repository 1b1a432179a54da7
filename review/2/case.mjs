// Rule LOST: a new configuration whose version needs more than 32 bits ends all nodes by themselves, with the requests that they have passed on.
import { setTimeout as sleep } from 'node:timers/promises'

import { Deployment } from '../lib/Deployment.mjs'
import { CONFIGURATION, createRunners, playOnKeptChannels } from '../lib/keptChannels.mjs'
import { hasTrouble, Record, runCase } from '../lib/Record.mjs'

const NODES = 9

/** Version before the change, and the steps to the next ones; the second change leaves what 32 bits hold. */
const FIRST_VERSION = 2 ** 32 - 12
const STEP = 7

const record = new Record(import.meta.dirname)
const deployment = new Deployment(record)

await runCase(record, deployment, async () => {
  await deployment.start({ ...CONFIGURATION, version: FIRST_VERSION }, createRunners(), NODES)
  await sleep(2_000)
  return await playOnKeptChannels(deployment, async () => {
    deployment.configure({ ...CONFIGURATION, version: FIRST_VERSION + STEP })
    await sleep(1_000)
    if (hasTrouble) deployment.configure({ ...CONFIGURATION, version: FIRST_VERSION + 2 * STEP })
  })
})
