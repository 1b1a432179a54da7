/** A planned stop of one of three node processes in calm, with requests whose last bytes come late in its grace. */
import { execFileSync } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request as httpRequest } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName, SETTINGS_VARIABLE, StoreKey } from '@bluebellhill/platform'
import { configurationDocument, serverDocument, settingsDocument, StoreStandin } from '@bluebellhill/platform-standin'
import type { RouteDocument } from '@bluebellhill/platform-standin'

import { HOST, KEPT_KEY, PLAIN_SERVICE, PORT } from '../src/constants.js'
import { NodeProcess } from '../src/NodeProcess.js'

/** Address of this test in each network; the soaks use others. */
const NETWORK = `127.78.${process.pid % 200}`
const NODES = [11, 12, 13]
const SERVERS = [101, 102, 103]
const STORE = 50

const GRACE_S = 8
const GRACE_MS = GRACE_S * 1_000

/** When the last bytes are sent, after the signal. */
const OFFSETS_MS = [0, 500, 1_000, 2_000, 3_000, 4_000, 5_000, 5_500, 6_000, 6_500, 7_000]

/** Last bytes that come by then are answered, whatever is known of the route. */
const SURELY_ANSWERED_MS = 500

/** Requests that may not be repeated. */
const WORKS_MS = [1_500, 3_000]
const ROUTES: readonly RouteDocument[] = WORKS_MS.flatMap((work) => (['unsafe', 'streaming'] as const).flatMap((kind) => ['known', 'new'].map((knowledge) => {
  const name = `${kind}-${work}-${knowledge}`
  return { name, host: HOST, prefix: `/${name}/`, kind, service: PLAIN_SERVICE, timeoutMs: 20_000, resumable: false }
})))

/** Requests that reach the other nodes at intervals during the stop. */
const QUICK_ROUTE: RouteDocument = { name: 'unsafe-20-quick', host: HOST, prefix: '/unsafe-20-quick/', kind: 'unsafe', service: PLAIN_SERVICE, timeoutMs: 5_000, resumable: false }
const QUICK_INTERVAL_MS = 50

/** Answers after which a node knows how long those of a route take. */
const KNOWN_ANSWERS = 10

const EVENTS = 10

interface LateRequest {
  readonly path: string
  readonly offset: number
  readonly id: string
  status: number | null
  whole: boolean
}

/** Works as long as the path says, and records the requests that have run. */
const serve = async (request: IncomingMessage, response: ServerResponse, runs: string[]): Promise<void> => {
  const id = String(request.headers[HeaderName.AttemptId])
  request.resume()
  await once(request, 'end')
  runs.push(id)
  const [, kind, work = '0'] = /^\/(unsafe|streaming)-(\d+)-/.exec(request.url ?? '') ?? []
  const headers = { [HeaderName.AttemptId]: id, [HeaderName.Signature]: 'signature' }
  if (kind !== 'streaming') {
    await sleep(Number(work))
    response.writeHead(200, headers).end('answer')
    return
  }
  response.writeHead(200, headers)
  for (let event = 1; event <= EVENTS; event += 1) {
    response.write(`id: ${event}\ndata: {}\n\n`)
    await sleep(Number(work) / EVENTS)
  }
  response.end()
}

/** Starts a store, backend servers and node processes. */
const startFleet = async (t: ExecutionContext, runs: string[]): Promise<NodeProcess[]> => {
  const directory = mkdtempSync(join(tmpdir(), 'planned-stop-'))
  const store = new StoreStandin()
  await store.start(`${NETWORK}.${STORE}`, PORT.store)
  store.put(StoreKey.Configuration, configurationDocument({ version: 1, routes: [...ROUTES, QUICK_ROUTE], services: [{ name: PLAIN_SERVICE, isEngine: false }], apiKeys: [KEPT_KEY] }))
  const servers = SERVERS.map((last, index) => {
    const server = createServer((request, response) => { serve(request, response, runs).catch(() => response.destroy()) })
    server.listen(PORT.server, `${NETWORK}.${last}`)
    store.put(`${StoreKey.BackendServers}i-${index}`, serverDocument({ service: PLAIN_SERVICE, address: `${NETWORK}.${last}:${PORT.server}`, failureDomain: `hall-${index}`, isDraining: false, startedAt: Date.now() }))
    return server
  })
  const nodes = NODES.map((last, index) => {
    const settings = join(directory, `node-${index}.toml`)
    writeFileSync(settings, settingsDocument({
      node: `node-${index}`, host: `${NETWORK}.${last}`, failureDomain: `hall-${index}`, callerPort: PORT.callers, readinessPort: PORT.readiness, peerPort: PORT.peers, store: `${NETWORK}.${STORE}:${PORT.store}`, stopGraceSeconds: GRACE_S, retryRatio: 0.2, retrySlack: 30
    }))
    return new NodeProcess(`node-${index}`, 'target/start.cjs', { [SETTINGS_VARIABLE]: settings }, join(directory, `node-${index}.log`))
  })
  for (const node of nodes) node.start()
  t.teardown(async () => {
    await Promise.all(nodes.map(async (node) => { await node.dispose() }))
    for (const server of servers) {
      server.closeAllConnections()
      server.close()
    }
    store.dispose()
    rmSync(directory, { recursive: true })
  })
  return nodes
}

interface Outcome {
  /** Null if there was no answer. */
  readonly status: number | null
  readonly whole: boolean
}

/** Sends a request to a node, by default the first one; its last byte is sent when `last` resolves. */
const send = async (path: string, id: string, last: Promise<unknown>, node = NODES[0]): Promise<Outcome> => {
  const request = httpRequest({ host: `${NETWORK}.${node}`, port: PORT.callers, path, method: 'POST', agent: false, headers: { host: HOST, authorization: `Bearer ${KEPT_KEY}`, [HeaderName.AttemptId]: id, 'content-length': 4 } })
  const answer = once(request, 'response').then(async ([response]: IncomingMessage[]) => {
    if (response === undefined) return { status: null, whole: false }
    response.resume()
    await once(response, 'end')
    return { status: response.statusCode ?? null, whole: response.complete }
  }).catch(() => ({ status: null, whole: false }))
  request.on('error', () => {})
  request.write('bod')
  void last.then(() => request.end('y'))
  return await answer
}

/** Sends quick requests to the other nodes until the stop is over. Returns the statuses of their answers. */
const sendBeside = async (stopped: Promise<void>): Promise<Array<number | null>> => {
  const statuses: Array<Promise<Outcome>> = []
  const over = new AbortController()
  void stopped.then(() => over.abort())
  for (let index = 0; !over.signal.aborted; index += 1) {
    for (const node of NODES.slice(1)) statuses.push(send(`${QUICK_ROUTE.prefix}x`, `quick-${node}-${index}`, Promise.resolve(), node))
    await sleep(QUICK_INTERVAL_MS)
  }
  return (await Promise.all(statuses)).map(({ status }) => status)
}

const untilServed = async (): Promise<void> => {
  for (const node of NODES) {
    for (let index = 0; (await send(`${QUICK_ROUTE.prefix}x`, `first-${node}-${index}`, Promise.resolve(), node)).status !== 200; index += 1) await sleep(100)
  }
}

test.before(() => { execFileSync(process.execPath, ['scripts/bundle.mjs']) })

// Guards against LOST: a node took requests late in the grace of its planned stop, and cut them off without an answer at its end.
test('each request that reaches a node before its planned stop, and ends late in its grace, is answered or refused truthfully', async (t) => {
  const runs: string[] = []
  const [stopping] = await startFleet(t, runs)
  if (stopping === undefined) throw new Error('no node')
  await untilServed()
  const known = ROUTES.filter(({ name }) => name.endsWith('known'))
  await Promise.all(known.flatMap(({ prefix }) => Array.from({ length: KNOWN_ANSWERS }, async (_, index) => { await send(`${prefix}x`, `known-${prefix}-${index}`, Promise.resolve()) })))
  let signal = (): void => {}
  const signalled = new Promise<void>((resolve) => { signal = resolve })
  const requests = ROUTES.flatMap(({ prefix }) => OFFSETS_MS.map((offset): LateRequest => ({ path: `${prefix}late`, offset, id: `${prefix.slice(1, -1)}-${offset}`, status: null, whole: false })))
  const ended = Promise.all(requests.map(async (request) => {
    Object.assign(request, await send(request.path, request.id, signalled.then(async () => { await sleep(request.offset) })))
  }))
  await sleep(500)
  const stopped = stopping.stop(GRACE_MS)
  signal()
  const beside = await sendBeside(stopped)
  await ended
  await stopped
  await sleep(Math.max(...WORKS_MS))
  const describe = (found: readonly LateRequest[]): string[] => found.map(({ id, status, whole }) => `${id}: ${status ?? 'no answer'}${whole ? '' : ', not whole'}`)
  t.log(`answered ${requests.filter(({ status }) => status === 200).length}, refused ${requests.filter(({ status }) => status === 503).length}, others ${requests.filter(({ status }) => status !== 200 && status !== 503).length}`)
  t.deepEqual(stopping.unexpectedEnds, [])
  t.deepEqual(describe(requests.filter(({ whole }) => !whole)), [])
  t.deepEqual(describe(requests.filter((request) => request.status === 503 && runs.includes(request.id))), [], 'refused as not run, and run')
  t.deepEqual(describe(requests.filter(({ offset, status }) => offset <= SURELY_ANSWERED_MS && status !== 200)), [], 'refused early in the grace')
  t.is(new Set(runs).size, runs.length, 'run twice')
  t.true(beside.length > 0)
  t.deepEqual([...new Set(beside)], [200], 'at the nodes beside it')
})
