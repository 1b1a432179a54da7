/** `key-value`, `vm-list`, `weight-store` and `plain`: the stand-ins beside the engines. */
import { defineCommand } from 'citty'

import { createKeyValue } from '../keyValue/createKeyValue.js'
import { createPlain } from '../plain/createPlain.js'
import { createVmList } from '../vmList/createVmList.js'
import { createWeightStore } from '../weightStore/createWeightStore.js'
import { commonArgs, numberArg, numberOf, runUntilStopped } from './arguments.js'

const WRITES_PER_SECOND = 400
const READS_PER_SECOND = 2_000
const VM_LIST_LAG_MS = 2_000
const WEIGHT_BYTES_PER_SECOND = 20_000_000
const MODEL_BYTES = 20_000_000
const MAX_TRANSFERS = 2
const SERVICE_MS = 5

export const keyValueCommand = defineCommand({
  meta: { name: 'key-value', description: 'A stand-in key-value service' },
  args: {
    ...commonArgs,
    'writes-per-second': numberArg('Limit of writes; 0 for none', WRITES_PER_SECOND),
    'reads-per-second': numberArg('Limit of reads; 0 for none', READS_PER_SECOND)
  },
  run: async ({ args }) => {
    const made = createKeyValue({
      name: args.name,
      writesPerSecond: numberOf(args['writes-per-second']),
      readsPerSecond: numberOf(args['reads-per-second'])
    }, args.listen)
    await runUntilStopped(made.server, made, args['exit-with-parent'])
  }
})

export const vmListCommand = defineCommand({
  meta: { name: 'vm-list', description: 'A stand-in VM list; POST /vms and POST /vm change the truth' },
  args: { ...commonArgs, 'lag-ms': numberArg('Age of the answers, in ms', VM_LIST_LAG_MS) },
  run: async ({ args }) => {
    const made = createVmList(args.name, numberOf(args['lag-ms']), args.listen)
    await runUntilStopped(made.server, made, args['exit-with-parent'])
  }
})

export const weightStoreCommand = defineCommand({
  meta: { name: 'weight-store', description: 'A stand-in weight store' },
  args: {
    ...commonArgs,
    'bytes-per-second': numberArg('Rate of all transfers together', WEIGHT_BYTES_PER_SECOND),
    'model-bytes': numberArg('Size of one model', MODEL_BYTES),
    'max-transfers': numberArg('Transfers at once', MAX_TRANSFERS)
  },
  run: async ({ args }) => {
    const made = createWeightStore({
      name: args.name,
      bytesPerSecond: numberOf(args['bytes-per-second']),
      modelBytes: numberOf(args['model-bytes']),
      maxTransfers: numberOf(args['max-transfers'])
    }, args.listen)
    await runUntilStopped(made.server, made, args['exit-with-parent'])
  }
})

export const plainCommand = defineCommand({
  meta: { name: 'plain', description: 'A stand-in plain service' },
  args: {
    ...commonArgs,
    'service-ms': numberArg('Time that a call takes, in ms', SERVICE_MS),
    'honour-idempotency-key': { type: 'boolean', description: 'Run a repeated Idempotency-Key once', default: false }
  },
  run: async ({ args }) => {
    const made = createPlain({
      name: args.name,
      serviceMs: numberOf(args['service-ms']),
      honourIdempotencyKey: args['honour-idempotency-key']
    }, args.listen)
    await runUntilStopped(made.server, made, args['exit-with-parent'])
  }
})
