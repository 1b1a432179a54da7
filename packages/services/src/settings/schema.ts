/** Schema of a daemon's settings. */
import { z } from 'zod'

import { addressField, countField, durationField, ipField, listenField, nameField, numberField, sizeField, uniqueBy } from '../document/fields.js'
import { describeField } from '../document/schemaInfo.js'
import { BackendKind } from '../vmList/VmList.js'

/** Ways to choose a runner for a request. */
export const PolicyName = {
  RoundRobin: 'round_robin',
  LeastReportedLoad: 'least_reported_load',
  LengthAware: 'length_aware'
} as const
export type PolicyName = typeof PolicyName[keyof typeof PolicyName]

/** Severities of log lines, the gravest first. */
export const LogLevel = {
  Error: 'error',
  Warn: 'warn',
  Info: 'info',
  Debug: 'debug'
} as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Time by which the claim of a key outlives the longest request, so that it cannot lapse while the request runs. */
const KEY_RETENTION_MARGIN_MS = 60_000

const MIN_SECRET_LENGTH = 16
const MAX_SECRET_LENGTH = 512

const secretField = z.string().min(MIN_SECRET_LENGTH).max(MAX_SECRET_LENGTH)
  .meta({ allowed: `a text of ${MIN_SECRET_LENGTH} to ${MAX_SECRET_LENGTH} characters`, secret: true })

const listen = z.strictObject({
  caller: describeField(listenField, { description: 'Callers\' HTTP interface.' }),
  peer: describeField(listenField, { description: 'Calls from other nodes.' }),
  gossip: describeField(listenField, { description: 'Datagrams from other nodes (UDP).' }),
  admin: describeField(listenField, { description: 'Metrics and the command line.' })
})

const secrets = z.strictObject({
  peer: describeField(z.array(secretField).min(1).max(4), { description: 'Secrets that nodes share. The first signs, each is accepted; put a new one first, roll out, then remove the old one.' })
    .meta({ allowed: 'a list of 1 to 4 secrets, each of 16 to 512 characters', secret: true }),
  admin: describeField(secretField.optional(), { description: 'Secret that the command line sends to the admin address; none leaves it open.' })
})

const addressesField = z.array(addressField).max(16).default([])

const platform = z.strictObject({
  keyValue: describeField(addressesField, { description: 'Instances of the key-value service.' }),
  vmList: describeField(addressesField, { description: 'Instances of the VM list; none leaves the runners of this file.' }),
  weightStore: describeField(addressesField, { description: 'Instances of the weight store.' })
})

const runner = z.strictObject({
  name: describeField(nameField, { description: 'Name of the backend server, unique in the fleet.' }),
  address: describeField(addressField, { description: 'Where it listens.' }),
  failureDomain: describeField(nameField, { description: 'Failure domain it stands in.' }),
  kind: describeField(z.enum(BackendKind), { description: 'A model engine or a plain service.' }),
  service: describeField(nameField.optional(), { description: 'Name of the plain service; only with kind plain.' })
}).superRefine((entry, context) => {
  if ((entry.kind === BackendKind.Plain) === (entry.service !== undefined)) return
  const message = entry.service === undefined ? 'is missing for a plain service' : 'is not for an engine'
  context.addIssue({ code: 'custom', path: ['service'], message, params: { allowed: 'a name with kind plain, nothing with kind engine' } })
})

const limits = z.strictObject({
  bodyBytes: describeField(sizeField('1KiB', '256MiB').prefault('16MiB'), { description: 'Longest body of a caller.' }),
  bodyTimeout: describeField(durationField('100ms', '10m').prefault('60s'), { description: 'Time for a caller to send its body.' }),
  queuedOrders: describeField(countField(1, 1_000_000).default(10_000), { description: 'Orders that wait at one dispatcher at most.' }),
  requests: describeField(countField(1, 1_000_000).default(20_000), { description: 'Requests in progress at this node at most.' }),
  serviceSlots: describeField(countField(1, 100_000).default(64), { description: 'Calls that one plain service takes at once.' }),
  longestDeadline: describeField(durationField('1s', '1d').prefault('1h'), { description: 'Longest time limit that a caller or a template can set.' }),
  connectTimeout: describeField(durationField('10ms', '1m').prefault('1s'), { description: 'Time to open a connection to a backend server or the platform.' }),
  platformTimeout: describeField(durationField('10ms', '1m').prefault('2s'), { description: 'Time for one call to the platform.' }),
  streamIdleTimeout: describeField(durationField('100ms', '1h').prefault('60s'), { description: 'Time between two pieces of an engine\'s stream.' }),
  drainGrace: describeField(durationField('0s', '10m').prefault('5s'), { description: 'Time between the failing readiness check and the refusal of new work at a planned stop.' }),
  keyRetention: describeField(durationField('1m', '7d').prefault('1d'), { description: 'Time that the outcome of an idempotency key is kept.' }),
  storeWrites: describeField(countField(1, 100_000).default(300), { description: 'Writes a second that the whole fleet may send to the key-value service.' })
}).superRefine((entry, context) => {
  if (entry.keyRetention >= entry.longestDeadline + KEY_RETENTION_MARGIN_MS) return
  context.addIssue({ code: 'custom', path: ['keyRetention'], message: 'is too short for the longest deadline', params: { allowed: 'at least a minute more than longestDeadline' } })
})

const policy = z.strictObject({
  name: describeField(z.enum(PolicyName).default(PolicyName.LengthAware), { description: 'How a runner is chosen.' }),
  weights: describeField(z.strictObject({
    shortSlowdown: describeField(numberField(0, 1).default(0.5), { description: 'Weight of the slowdown of short requests.' }),
    firstToken: describeField(numberField(0, 1).default(0.5), { description: 'Weight of the time to first token by prompt length.' })
  }).prefault({}), { description: 'What the policy favours; only their ratio counts.' })
})

const engines = z.strictObject({
  checkFencing: describeField(z.boolean().default(false), { description: 'Whether the engines refuse an order with an old fencing number.' })
})

const log = z.strictObject({
  level: describeField(z.enum(LogLevel).default(LogLevel.Info), { description: 'Least severity that is written.' })
})

/** The settings of one daemon, as they stand in its file. */
export const settingsSchema = z.strictObject({
  name: describeField(nameField, { description: 'Name of this node, unique in the fleet.' }),
  region: describeField(nameField, { description: 'Region of this VM.' }),
  failureDomain: describeField(nameField, { description: 'Failure domain of this VM.' }),
  listen: describeField(listen, { description: 'Addresses to listen on.' }),
  advertise: describeField(ipField.optional(), { description: 'IP number that other nodes reach this one by, where it listens on every address.' }),
  seeds: describeField(z.array(addressField).max(64).default([]), { description: 'Gossip addresses of nodes to join through.' }),
  secrets: describeField(secrets, { description: 'Secrets of the fleet.' }),
  platform: describeField(platform.prefault({}), { description: 'The platform\'s services.' }),
  runners: describeField(z.array(runner).max(10_000).default([]).superRefine(uniqueBy((entry) => entry.name, 'name')), { description: 'Backend servers of a setup without a VM list.' }),
  limits: describeField(limits.prefault({}), { description: 'Bounds and timeouts.' }),
  policy: describeField(policy.prefault({}), { description: 'Choice of runners.' }),
  engines: describeField(engines.prefault({}), { description: 'What holds of all engines.' }),
  log: describeField(log.prefault({}), { description: 'Logging.' })
})

/** Checked settings of one daemon; times are in milliseconds, sizes in bytes. */
export type Settings = z.output<typeof settingsSchema>
