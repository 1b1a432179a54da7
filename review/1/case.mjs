// Rule LOST: an entry of another writer, whose address is none, ends the nodes by themselves, with the requests that they have passed on.
import { setTimeout as sleep } from 'node:timers/promises'

import { Deployment } from '../lib/Deployment.mjs'
import { CONFIGURATION, createRunners, playOnKeptChannels } from '../lib/keptChannels.mjs'
import { hasTrouble, Record, runCase } from '../lib/Record.mjs'

const NODES = 9

const ENTRY = { service: 'order-api', address: '127.0.0.1:81290', zone: 'bayangol-hall', version: 'v1', slots: 6, state: 'ready', warmup_left_ms: 0, sequence: 1, born: Date.now() }

const record = new Record(import.meta.dirname)
const deployment = new Deployment(record)

await runCase(record, deployment, async () => {
  await deployment.start(CONFIGURATION, createRunners(), NODES)
  await sleep(2_000)
  return await playOnKeptChannels(deployment, () => {
    if (!hasTrouble) return
    record.write('store', `another writer writes servers/i-0badc0de: ${JSON.stringify(ENTRY)}`)
    deployment.store.put('servers/i-0badc0de', JSON.stringify(ENTRY))
  })
})
