import { credentials, makeGenericClientConstructor, Metadata, status } from '@grpc/grpc-js'
import type { ServiceError } from '@grpc/grpc-js'
import test from 'ava'
import fc from 'fast-check'
import { ConfigurationExchangeService, DispatcherService, EntryService } from '@bluebellhill/protocol'
import type { AcquireRequest, Order, ProgressRequest, PushRequest } from '@bluebellhill/protocol'
import type { AttemptId, FailureDomain, NodeId, ProgressKind, RunnerId } from '@bluebellhill/domain'

import { decodeOrder } from '../src/peers/orderMessage.js'
import { PeerAuthenticator } from '../src/peers/PeerAuthenticator.js'
import { PeerClients } from '../src/peers/PeerClients.js'
import { openHost, reportWith } from './fakeDispatch.js'
import { PEER_SECRET, sendRaw, startNode } from './fuzzDaemon.js'

/** Timeout of a call. A dispatch order may be queued for longer; its call then fails with DEADLINE_EXCEEDED. */
const CALL_TIMEOUT_MS = 400

const uint32 = fc.oneof(fc.integer({ min: 0, max: 2 ** 32 - 1 }), fc.constantFrom(0, 1, 2 ** 31, 2 ** 32 - 1))
const uint64 = fc.oneof(fc.bigInt(0n, 2n ** 64n - 1n), fc.constantFrom(0n, 2n ** 64n - 1n))
const name = fc.oneof(fc.string({ maxLength: 20 }), fc.constantFrom('', '.', 'm', 'sohar-1', 'g1', 'r1.1', '__proto__', 'x'.repeat(5_000)))

const order: fc.Arbitrary<Order> = fc.record({
  attempt: name,
  request: name,
  entry: name,
  organisation: name,
  model: fc.constantFrom('m', 'slip', ''),
  version: fc.option(name, { nil: undefined }),
  adapter: fc.option(name, { nil: undefined }),
  urgency: fc.integer({ min: -(2 ** 31), max: 2 ** 31 - 1 }),
  promptTokens: uint32,
  maxTokens: uint32,
  prefix: fc.array(uint64, { maxLength: 20 }),
  remainingMs: uint32,
  excluded: fc.array(name, { maxLength: 5 })
})

const acquire: fc.Arbitrary<AcquireRequest> = fc.record({ order: fc.option(order, { nil: undefined }), clock: uint64, direct: fc.boolean() })
const kind = fc.oneof(name, fc.constantFrom('sent', 'first_token', 'streaming', 'ended', 'failed'))
const progress: fc.Arbitrary<ProgressRequest> = fc.record({ attempt: name, runner: name, kind, generated: uint32, order: fc.option(order, { nil: undefined }), clock: uint64 })

const edit = fc.record({ revision: uint64, edit: name, author: name, editedAt: uint64 })
const push: fc.Arbitrary<PushRequest> = fc.record({
  from: name,
  values: fc.array(fc.record({ name, edit: fc.option(edit, { nil: undefined }), removed: fc.boolean(), text: name, history: fc.array(edit, { maxLength: 3 }) }), { maxLength: 3 }),
  clock: uint64
})

const PATHS = [DispatcherService, EntryService, ConfigurationExchangeService].flatMap((service) => Object.values(service).map((method) => method.path))

const RawClient = makeGenericClientConstructor({}, 'raw')

const identity = (bytes: Buffer): Buffer => bytes

/** Status codes with which a node refuses a message; any other code counts as a failure of the node. */
const REFUSALS: ReadonlySet<status> = new Set([
  status.INVALID_ARGUMENT, status.DEADLINE_EXCEEDED, status.UNAVAILABLE, status.UNAUTHENTICATED, status.INTERNAL, status.RESOURCE_EXHAUSTED
])

const isRefusal = (error: ServiceError | null): boolean => error === null || (REFUSALS.has(error.code) && !/exception|TypeError|undefined/i.test(error.details))

const deadline = () => ({ deadline: Date.now() + CALL_TIMEOUT_MS })

test('a node answers or refuses arbitrary bytes from a peer and keeps serving callers', async (t) => {
  const node = await startNode()
  t.teardown(() => node.stop())
  const authenticator = new PeerAuthenticator([PEER_SECRET], () => Date.now())
  const client = new RawClient(node.addresses.peer, credentials.createInsecure())
  t.teardown(() => client.close())
  const call = (path: string, bytes: Buffer): Promise<ServiceError | null> => new Promise((resolve) => {
    const metadata = new Metadata()
    metadata.set('x-peer-token', authenticator.createToken(path))
    client.makeUnaryRequest(path, identity, identity, bytes, metadata, deadline(), (error) => resolve(error))
  })
  await fc.assert(fc.asyncProperty(fc.constantFrom(...PATHS), fc.uint8Array({ maxLength: 200 }), async (path, bytes) => {
    const error = await call(path, Buffer.from(bytes))
    if (!isRefusal(error)) throw new Error(`${path}: ${error?.code} ${error?.details}`)
  }), { seed: 711, numRuns: 400 })
  t.is((await sendRaw(node.addresses.caller, Buffer.from('GET /healthz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n'))).status, 200)
})

test('a node answers or refuses arbitrary messages from an authenticated peer and keeps dispatching', async (t) => {
  const node = await startNode()
  t.teardown(() => node.stop())
  const clients = new PeerClients(new PeerAuthenticator([PEER_SECRET], () => Date.now()))
  t.teardown(() => clients.dispose())
  const { peer } = node.addresses
  type Done = (error: ServiceError | null) => void
  const errorOf = (call: (done: Done) => void): Promise<ServiceError | null> => new Promise((resolve) => call((error) => resolve(error)))
  await fc.assert(fc.asyncProperty(acquire, progress, push, async (order, report, values) => {
    const errors = await Promise.all([
      errorOf((done) => { clients.dispatcher(peer).acquire(order, new Metadata(), deadline(), done) }),
      errorOf((done) => { clients.dispatcher(peer).progress(report, new Metadata(), deadline(), done) }),
      errorOf((done) => { clients.entry(peer).recall({ attempt: report.attempt, reason: 'r', clock: report.clock }, new Metadata(), deadline(), done) }),
      errorOf((done) => { clients.configuration(peer).push(values, new Metadata(), deadline(), done) })
    ])
    const fault = errors.find((error) => !isRefusal(error))
    if (fault !== undefined) throw new Error(`${fault?.code} ${fault?.details}`)
  }), { seed: 712, numRuns: 150 })
  // the reply comes from the dispatcher's actor, so it shows that the actor still runs
  const last = { attempt: 'last.1', request: 'last', entry: 'n2', organisation: 'o', model: 'm', urgency: 1, promptTokens: 1_000, maxTokens: 16, prefix: [], remainingMs: 1_000, excluded: [] }
  const lastError = await errorOf((done) => { clients.dispatcher(peer).acquire({ order: last, clock: 0n, direct: true }, new Metadata(), { deadline: Date.now() + 20_000 }, done) })
  t.is(lastError, null)
})

test('a dispatcher answers a dispatch order after arbitrary orders and progress reports', async (t) => {
  const runner = 'g1' as RunnerId
  await fc.assert(fc.asyncProperty(fc.array(fc.tuple(acquire, progress), { maxLength: 8 }), async (messages) => {
    const { host, close } = openHost()
    host.post({ type: 'runner_assigned', runner, failureDomain: 'sohar' as FailureDomain })
    host.post({ type: 'runner_reported', runner, report: reportWith([]) })
    const controller = new AbortController()
    for (const [asked, told] of messages) {
      if (asked.order !== undefined) void host.acquire(decodeOrder(asked.order), controller.signal)
      host.post({ type: 'progressed', attempt: told.attempt as AttemptId, runner: told.runner as RunnerId, kind: told.kind as ProgressKind, generated: told.generated, order: told.order === undefined ? null : decodeOrder(told.order) })
    }
    controller.abort()
    host.post({ type: 'entry_lost', entry: 'sohar-1' as NodeId })
    const last = decodeOrder({ attempt: 'last.1', request: 'last', entry: 'n2', organisation: 'o', model: 'm', urgency: 1, promptTokens: 1_000, maxTokens: 16, prefix: [], remainingMs: 60_000, excluded: [] })
    const reply = await host.acquire(last, new AbortController().signal)
    close()
    // orders adopted from progress reports may fill the runner, so a refusal with a reason is correct
    if (reply.type === 'refused' && (reply.kind === 'internal' || reply.reason === '')) throw new Error(`refused as ${reply.kind}`)
  }), { seed: 713, numRuns: 100 })
  t.pass()
})
