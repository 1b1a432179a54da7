/** Schema of a node's settings file. */
import { z } from 'zod'

import { addressField, countField, durationField, ipField, listenField, nameField, numberField, sizeField, uniqueBy } from '../document/fields.js'
import { describeField } from '../document/schemaInfo.js'
import { BackendKind } from '../vmList/VmList.js'

/** Policies by which a dispatcher chooses a runner for a request. */
export const PolicyName = {
  RoundRobin: 'round_robin',
  LeastReportedLoad: 'least_reported_load',
  LengthAware: 'length_aware'
} as const
export type PolicyName = typeof PolicyName[keyof typeof PolicyName]

/** Log levels, most severe first. */
export const LogLevel = {
  Error: 'error',
  Warn: 'warn',
  Info: 'info',
  Debug: 'debug'
} as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Minimum difference between the retention time of idempotency keys and the longest deadline, so that no key expires while its request runs. */
const KEY_RETENTION_MARGIN_MS = 60_000

const MIN_SECRET_LENGTH = 16
const MAX_SECRET_LENGTH = 512

const secretField = z.string().min(MIN_SECRET_LENGTH).max(MAX_SECRET_LENGTH)
  .meta({ allowed: `a text of ${MIN_SECRET_LENGTH} to ${MAX_SECRET_LENGTH} characters`, secret: true })

const listen = z.strictObject({
  caller: describeField(listenField, { description: 'Address of the HTTP interface for callers.' }),
  peer: describeField(listenField, { description: 'Address for calls from other nodes.' }),
  gossip: describeField(listenField, { description: 'Address for UDP datagrams from other nodes.' }),
  admin: describeField(listenField, { description: 'Address for metrics and the command line tool.' })
})

const secrets = z.strictObject({
  peer: describeField(z.array(secretField).min(1).max(4), { description: 'Secrets that nodes share. The first signs, each is accepted. To replace one, put the new one first, roll out, then remove the old one.' })
    .meta({ allowed: 'a list of 1 to 4 secrets, each of 16 to 512 characters', secret: true }),
  admin: describeField(secretField.optional(), { description: 'Secret that the command line tool sends to the admin address; without it, the admin address accepts all requests.' })
})

const addressesField = z.array(addressField).max(16).default([])

const platform = z.strictObject({
  keyValue: describeField(addressesField, { description: 'Instances of the key-value service.' }),
  vmList: describeField(addressesField, { description: 'Instances of the VM list; without any, the runners of this file are used.' }),
  weightStore: describeField(addressesField, { description: 'Instances of the weight store.' })
})

const runner = z.strictObject({
  name: describeField(nameField, { description: 'Name of the backend server, unique in the fleet.' }),
  address: describeField(addressField, { description: 'Address on which the backend server listens.' }),
  failureDomain: describeField(nameField, { description: 'Failure domain of the backend server.' }),
  kind: describeField(z.enum(BackendKind), { description: 'A model engine or a plain service.' }),
  service: describeField(nameField.optional(), { description: 'Name of the plain service; only with kind plain.' })
}).superRefine((entry, context) => {
  if ((entry.kind === BackendKind.Plain) === (entry.service !== undefined)) return
  const message = entry.service === undefined ? 'is missing for a plain service' : 'is not for an engine'
  context.addIssue({ code: 'custom', path: ['service'], message, params: { allowed: 'a name with kind plain, nothing with kind engine' } })
})

const limits = z.strictObject({
  bodyBytes: describeField(sizeField('1KiB', '256MiB').prefault('16MiB'), { description: 'Maximum size of a request body from a caller.' }),
  bodyTimeout: describeField(durationField('100ms', '10m').prefault('60s'), { description: 'Time for a caller to send its body.' }),
  queuedOrders: describeField(countField(1, 1_000_000).default(10_000), { description: 'Maximum number of dispatch orders that wait at one dispatcher.' }),
  requests: describeField(countField(1, 1_000_000).default(20_000), { description: 'Maximum number of requests in progress at this node.' }),
  serviceSlots: describeField(countField(1, 100_000).default(64), { description: 'Maximum number of concurrent calls to one plain service.' }),
  longestDeadline: describeField(durationField('1s', '1d').prefault('1h'), { description: 'Longest time limit that a caller or a template can set.' }),
  connectTimeout: describeField(durationField('10ms', '1m').prefault('1s'), { description: 'Timeout for opening a connection to a backend server or the platform.' }),
  platformTimeout: describeField(durationField('10ms', '1m').prefault('2s'), { description: 'Timeout of a call to the platform.' }),
  streamIdleTimeout: describeField(durationField('100ms', '1h').prefault('60s'), { description: 'Longest time between two chunks of an engine\'s stream.' }),
  drainGrace: describeField(durationField('0s', '10m').prefault('5s'), { description: 'At a planned stop, time between the start of failing readiness checks and the rejection of new requests.' }),
  keyRetention: describeField(durationField('1m', '7d').prefault('1d'), { description: 'Time for which the outcome of an idempotency key is stored.' }),
  storeWrites: describeField(countField(1, 100_000).default(300), { description: 'Maximum number of writes per second from the whole fleet to the key-value service.' })
}).superRefine((entry, context) => {
  if (entry.keyRetention >= entry.longestDeadline + KEY_RETENTION_MARGIN_MS) return
  context.addIssue({ code: 'custom', path: ['keyRetention'], message: 'is too short for the longest deadline', params: { allowed: 'at least a minute more than longestDeadline' } })
})

const policy = z.strictObject({
  name: describeField(z.enum(PolicyName).default(PolicyName.LengthAware), { description: 'Policy by which runners are chosen.' }),
  weights: describeField(z.strictObject({
    shortSlowdown: describeField(numberField(0, 1).default(0.5), { description: 'Weight of the slowdown of short requests.' }),
    firstToken: describeField(numberField(0, 1).default(0.5), { description: 'Weight of the time to first token by prompt length.' })
  }).prefault({}), { description: 'Weights of the objectives of the policy; only their ratio matters.' })
})

const engines = z.strictObject({
  checkFencing: describeField(z.boolean().default(false), { description: 'Whether the engines reject a command with an outdated fencing number.' })
})

const log = z.strictObject({
  level: describeField(z.enum(LogLevel).default(LogLevel.Info), { description: 'Least severe level that is logged.' })
})

/** Schema of the settings of one node. */
export const settingsSchema = z.strictObject({
  name: describeField(nameField, { description: 'Name of this node, unique in the fleet.' }),
  region: describeField(nameField, { description: 'Region of this VM.' }),
  failureDomain: describeField(nameField, { description: 'Failure domain of this VM.' }),
  listen: describeField(listen, { description: 'Addresses to listen on.' }),
  advertise: describeField(ipField.optional(), { description: 'IP address at which other nodes reach this node, if it listens on every address.' }),
  seeds: describeField(z.array(addressField).max(64).default([]), { description: 'Gossip addresses of nodes to join through.' }),
  secrets: describeField(secrets, { description: 'Secrets of the fleet.' }),
  platform: describeField(platform.prefault({}), { description: 'The platform\'s services.' }),
  runners: describeField(z.array(runner).max(10_000).default([]).superRefine(uniqueBy((entry) => entry.name, 'name')), { description: 'Backend servers, for a setup without a VM list.' }),
  limits: describeField(limits.prefault({}), { description: 'Bounds and timeouts.' }),
  policy: describeField(policy.prefault({}), { description: 'How runners are chosen for requests.' }),
  engines: describeField(engines.prefault({}), { description: 'Settings that apply to all engines.' }),
  log: describeField(log.prefault({}), { description: 'Logging.' })
})

/** Validated settings of one node; times are in milliseconds, sizes in bytes. */
export type Settings = z.output<typeof settingsSchema>
