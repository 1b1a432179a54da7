/** Starts a node on loopback without backend servers for the fuzz tests, and sends raw bytes to it. */
import { createHash } from 'node:crypto'
import { connect } from 'node:net'
import { Writable } from 'node:stream'

import { loadSettings, parseConfiguration, Configuration, ConfigurationKind } from '@bluebellhill/services'
import type { Fleet, Organisation } from '@bluebellhill/services'
import { transports } from 'winston'

import { Daemon, openLog } from '../src/index.js'
import { toDaemonOptions } from '../src/daemon/toDaemonOptions.js'
import type { DaemonOptions } from '../src/daemon/types.js'

export const API_KEY = 'sk-fuzz-0123456789abcdef'
export const PEER_SECRET = 'peer-secret-0123456789'

const SETTINGS = `
name: sohar-1
region: batinah
failureDomain: sohar
listen: {caller: 127.0.0.1:0, peer: 127.0.0.1:0, gossip: 127.0.0.1:0, admin: 127.0.0.1:0}
secrets: {peer: [${PEER_SECRET}]}
limits: {bodyBytes: 64KiB, bodyTimeout: 300ms, drainGrace: 0s}
`

const FLEET = `
kind: fleet
models: [{name: slip, versions: [{name: "1"}], current: "1"}]
services: [{name: orders}]
`

const ORGANISATION = `
kind: organisation
name: growers
keys: [{name: main, sha256: ${createHash('sha256').update(API_KEY).digest('hex')}}]
templates:
  - {name: enquiry, request: {shape: completion}, model: slip, deadline: 2s, idempotent: true}
  - {name: ask, request: {shape: chat}, model: slip, deadline: 2s, idempotent: true}
  - {name: order, request: {shape: service}, service: orders, deadline: 2s, idempotent: false}
`

const parse = (text: string): Fleet | Organisation => {
  const result = parseConfiguration(text, 'test.yaml')
  if (!result.ok) throw new Error(JSON.stringify(result.failure))
  return result.value
}

const configuration = (): Configuration => {
  const values = [parse(FLEET), parse(ORGANISATION)]
  const fleet = values.find((value) => value.kind === ConfigurationKind.Fleet) ?? null
  return new Configuration(fleet, values.filter((value) => value.kind === ConfigurationKind.Organisation))
}

/** Starts the node, with these options in place of its settings; its log is discarded. */
export const startNode = async (options: Partial<DaemonOptions> = {}): Promise<Daemon> => {
  const settings = loadSettings(SETTINGS, 'test.yaml')
  if (!settings.ok) throw new Error(JSON.stringify(settings.failure))
  const discardingOutput = new transports.Stream({ stream: new Writable({ write: (_chunk, _encoding, done) => done() }) })
  const log = openLog({ node: 'sohar-1', failureDomain: 'sohar', level: 'error', transport: discardingOutput })
  return await Daemon.start({ ...toDaemonOptions(settings.value, configuration(), log), ...options })
}

export interface RawAnswer {
  readonly status: number
  readonly headers: string
  readonly body: string
}

/** Time within which every call has to be answered. */
const ANSWER_TIMEOUT_MS = 20_000

const parseAnswer = (text: string): RawAnswer => {
  const end = text.indexOf('\r\n\r\n')
  const headers = end < 0 ? text : text.slice(0, end)
  const body = end < 0 ? '' : text.slice(end + 4)
  const chunked = /transfer-encoding: chunked/i.test(headers)
  return { status: Number(/^HTTP\/1\.1 (\d{3})/.exec(headers)?.[1] ?? 0), headers, body: chunked ? body.replace(/(^|\r\n)[0-9a-f]+\r\n/g, '') : body }
}

/** Sends bytes unchanged over TCP and reads the answer until the node closes the connection. */
export const sendRaw = (address: string, bytes: Buffer): Promise<RawAnswer> => new Promise((resolve, reject) => {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  const chunks: Buffer[] = []
  socket.setTimeout(ANSWER_TIMEOUT_MS, () => socket.destroy(new Error('no answer in time')))
  socket.on('data', (chunk) => chunks.push(chunk))
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code !== 'ECONNRESET' && error.code !== 'EPIPE') reject(error)
  })
  socket.on('close', () => resolve(parseAnswer(Buffer.concat(chunks).toString('utf8'))))
  socket.write(bytes)
})
