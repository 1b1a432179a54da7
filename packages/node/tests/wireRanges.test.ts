/** Values of a configuration, of callers and of servers that are larger than the fields of datagrams were. */
import test from 'ava'
import fc from 'fast-check'

import { Readiness, storeRevision } from '@bluebellhill/domain'
import type { Assignment, FailureDomain, NodeId, RunnerId } from '@bluebellhill/domain'
import { decodeCallerHeaders, HeaderName, parseDeployment, parseServerEntry } from '@bluebellhill/platform'
import { fleetWire } from '@bluebellhill/protocol'

import { FleetState } from '../src/forward/FleetState.js'
import { decodeCandidateState, decodeDatagram, decodeQuery, decodeReply, encodeAttemptReports, encodeCandidate, encodeDatagram, encodeQuery, encodeReply } from '../src/forward/peers/datagramCodec.js'
import type { DatagramContent } from '../src/forward/peers/datagramCodec.js'
import { decodeEvacuations } from '../src/forward/peers/evacuationCodec.js'
import { encodeNotice } from '../src/forward/peers/noticeCodec.js'
import { encodeFacts } from '../src/forward/peers/quarantineCodec.js'
import { decodeSnapshot } from '../src/forward/peers/snapshotCodec.js'
import { decodeState, encodeState } from '../src/forward/peers/stateCodec.js'
import type { NodeState } from '../src/forward/peers/stateCodec.js'
import { encodeConfigurationVersion, toUint32, toUint64 } from '../src/forward/peers/wireNumbers.js'
import type { PlacementResult, PlacementSpec } from '../src/forward/scheduling/types.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const NODE = 'n1' as NodeId
const SERVER = 'i-1' as RunnerId
const RUNS = { seed: 39, numRuns: 500 }

/** Any number, often one beside the limits of the fields. */
const anyNumber = fc.oneof(
  fc.double(),
  fc.integer(),
  fc.constantFrom(-1, 0, 0.5, 2 ** 31 - 1, 2 ** 31, -(2 ** 31) - 1, 2 ** 32 - 1, 2 ** 32, 2 ** 40, 2 ** 53, 2 ** 64, Number.MAX_VALUE, Infinity, -Infinity, NaN)
)

/** Versions of a configuration, the ones beside 32 and 53 bits included. */
const anyVersion = fc.oneof(fc.maxSafeNat(), fc.constantFrom(1, 2 ** 32 - 1, 2 ** 32, 2 ** 32 + 2, 2 ** 52, 2 ** 53, 1_764_900_000_000_000_000))

const stateOf = (changes: Partial<NodeState>): NodeState => ({
  node: NODE, startedAt: 1_700_000_000_000, sequence: 1, configurationVersion: 7, serversRevision: 41, stopping: false, storeLost: false, works: [], peers: [], notices: [], quarantine: undefined, failureDomain: '', version: 1, processor: 0, ...changes
})

const candidateReport = (configurationVersion: number): DatagramContent => ({
  $case: 'candidateReport',
  value: { uptimeMs: 1n, configurationVersion: encodeConfigurationVersion(configurationVersion), serversRevision: 1n, storeLost: false, stopping: false, candidates: [], notices: [], serversEraPlusOne: 1, quarantine: undefined, evacuations: undefined }
})

const deploymentText = (version: unknown): string => JSON.stringify({ version, routes: [], services: [], limits: { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 } })

// Guards against LOST: a version of more than 32 bits was thrown out of a timer of every node, and ended all of them.
test('nodes tell each other of versions of any size', (t) => {
  fc.assert(fc.property(anyVersion, (version) => {
    const state = decodeState(encodeState(stateOf({ configurationVersion: version }), 0)[0]!, 0)
    const { content } = decodeDatagram(encodeDatagram(NODE, 1, candidateReport(version)))
    return state.configurationVersion === version && content.$case === 'candidateReport' && decodeCandidateState(content.value, 0).configurationVersion === version
  }), RUNS)
  t.pass()
})

test('versions of 32 bits are read from earlier builds, and by them', (t) => {
  const datagram = Buffer.from(encodeState(stateOf({ configurationVersion: 2 ** 32 - 1 }), 0)[0]!)
  // The field as earlier builds write it and read it.
  const field = Buffer.from([6 << 3, 0xff, 0xff, 0xff, 0xff, 0x0f])
  t.true(datagram.includes(field))
  t.is(decodeState(datagram, 0).configurationVersion, 2 ** 32 - 1)
})

test('a version of which an earlier build read only 32 bits takes back no configuration', (t) => {
  const fleetState = new FleetState(silentLog(), () => 0)
  const version = 2 ** 32 + 2
  fleetState.install({ ...DEPLOYMENT, version }, 'store')
  fleetState.merge({ deployment: { ...DEPLOYMENT, version: version % 2 ** 32 }, servers: null })
  t.is(fleetState.configurationVersion, version)
})

test('a configuration is read whatever its version is, if it is a whole number', (t) => {
  for (const version of [0, 1, 2 ** 32, 2 ** 53, 1_764_900_000_000_000_000]) {
    const parsed = parseDeployment(deploymentText(version))
    t.is(parsed.ok ? parsed.value.version : parsed.failure, version)
  }
  for (const version of [-1, 1.5, '7', 2 ** 64]) t.false(parseDeployment(deploymentText(version)).ok)
})

test('the first configuration is installed even if its version is 0', (t) => {
  const fleetState = new FleetState(silentLog(), () => 0)
  fleetState.install({ ...DEPLOYMENT, version: 0 }, 'store')
  t.not(fleetState.routeTable, null)
})

test('numbers are encoded as the nearest value of their field', (t) => {
  t.deepEqual([-1, 0.4, 7.6, 2 ** 32, Infinity, NaN].map(toUint32), [0, 0, 8, 2 ** 32 - 1, 2 ** 32 - 1, 0])
  t.deepEqual([-1, 1.5, 2 ** 53, Infinity, NaN].map(toUint64), [0n, 2n, 2n ** 53n, 2n ** 64n - 1n, 0n])
})

const assignment = fc.record({ prompt: anyNumber, answer: anyNumber, prefillTime: anyNumber, sentAt: anyNumber, dueAt: anyNumber, tokens: anyNumber, pauseObjective: fc.option(anyNumber) }).map(({ tokens, ...numbers }): Assignment =>
  ({ id: 'n1/1', server: SERVER, helpers: [], reservations: [{ runner: SERVER, tokens }], isPrefilled: false, isDeferred: false, ...numbers }))

test('a state with any numbers is encoded', (t) => {
  fc.assert(fc.property(fc.array(assignment, { maxLength: 20 }), anyNumber, anyNumber, anyNumber, (works, processor, serversRevision, now) => {
    const [first] = encodeState(stateOf({ works, processor, serversRevision, startedAt: serversRevision }), now)
    return decodeState(first!, 0).node === NODE
  }), RUNS)
  t.pass()
})

const spec = fc.record({ prompt: anyNumber, mostAnswer: anyNumber, objective: anyNumber, dueAt: anyNumber, pauseObjective: fc.option(anyNumber), urgency: anyNumber, waited: anyNumber }).map(({ prompt, mostAnswer, ...numbers }): PlacementSpec => ({
  request: 'a', service: 's', size: { prompt, mostAnswer }, excluded: [], allowed: null, chargesRetry: false, isRedirected: false, isFirstAttempt: true, isSuspected: false, trialParts: [], ...numbers
}))

// Guards against LOST: token counts of a caller's header, objectives and priorities were thrown out of the timer that repeats a query.
test('a query with any numbers is encoded', (t) => {
  fc.assert(fc.property(spec, anyNumber, (each, now) => {
    const { content } = decodeDatagram(encodeDatagram(NODE, 1, { $case: 'placementQuery', value: encodeQuery(each, 1, now) }))
    return content.$case === 'placementQuery' && decodeQuery(content.value, 0).request === 'a'
  }), RUNS)
  t.pass()
})

const result = fc.record({ timeToFirstEvent: anyNumber, tokens: anyNumber, requests: anyNumber, pendingPrefill: anyNumber, hedgeAfter: anyNumber, retryAfter: fc.option(anyNumber), renewAfter: anyNumber, startedAt: fc.option(anyNumber), heardAt: anyNumber })
  .chain(({ timeToFirstEvent, tokens, requests, pendingPrefill, hedgeAfter, retryAfter, renewAfter, startedAt, heardAt }): fc.Arbitrary<PlacementResult> => {
    const server = { id: SERVER, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 1 }
    return fc.constantFrom<PlacementResult>(
      { type: 'placed', choice: { server, helpers: [server], holders: [{ server, tokens }], timeToFirstEvent, isDeferred: false }, load: { requests, pendingPrefill }, keepsLimit: true, passedOver: [], isTrial: false, hedgeAfter },
      { type: 'refused', reason: 'full', retryAfter, notice: { server: SERVER, startedAt, requestLimit: null, isLeaving: false, heardBy: NODE, heardAt } },
      { type: 'queued', renewAfter }
    )
  })

test('a reply with any numbers is encoded', (t) => {
  fc.assert(fc.property(result, anyNumber, (each, now) => {
    const { content } = decodeDatagram(encodeDatagram(NODE, 1, { $case: 'placementReply', value: encodeReply(1, each, now) }))
    return content.$case === 'placementReply' && decodeReply(content.value, 's', () => null, 0).type === each.type
  }), RUNS)
  t.pass()
})

test('evidence, statements, reports, candidates and loads with any numbers are encoded', (t) => {
  const encode = (content: DatagramContent): boolean => encodeDatagram(NODE, 1, content).length > 0
  fc.assert(fc.property(anyNumber, anyNumber, anyNumber, (first, second, now) => {
    const fact = { server: SERVER, startedAt: first, at: second, reportedBy: NODE, suspects: second, parts: [], part: 'p', grantedBy: NODE }
    const quarantine = encodeFacts({ crashes: [fact], survivals: [fact], sounds: [fact], trials: [fact], recurrences: [fact] }, now)
    const notice = encodeNotice({ server: SERVER, startedAt: first, requestLimit: null, isLeaving: false, heardBy: NODE, heardAt: second }, now)
    const report = candidateReport(1)
    if (report.$case !== 'candidateReport') return false
    const candidates = [encodeCandidate({ node: NODE, address: '10.0.0.1:1', failureDomain: 'd1' as FailureDomain, processor: first })]
    const reports = encodeAttemptReports([{ number: 1, isEnded: true, server: SERVER, signal: null, slowdown: first, serviceTime: { time: first, requestsBefore: second } }])
    return encode({ $case: 'attemptReports', value: reports }) && encode({ ...report, value: { ...report.value, candidates, quarantine, notices: [notice] } })
  }), RUNS)
  t.pass()
})

test('the token counts of a caller are whole numbers that other nodes can be told', (t) => {
  const sizeOf = (header: string): unknown => decodeCallerHeaders({ [HeaderName.PromptSize]: header }).size
  t.deepEqual(sizeOf('1460,80'), { prompt: 1460, mostAnswer: 80 })
  t.deepEqual(sizeOf(`${2 ** 40},${2 ** 32}`), { prompt: 2 ** 32 - 1, mostAnswer: 2 ** 32 - 1 })
  t.deepEqual(sizeOf('9'.repeat(400) + ',1'), { prompt: 2 ** 32 - 1, mostAnswer: 1 })
  for (const header of ['1000.5,3.2', '-1,2', 'NaN,1', '1', '']) t.is(sizeOf(header), null, header)
})

test('a server whose start is no time of a clock is not used', (t) => {
  const entry = { service: 's', address: '10.0.0.1:80', zone: 'hall', slots: 11, state: 'ready' }
  for (const born of [-5, 0, 1.5, 2 ** 60]) t.false(parseServerEntry('servers/i-1', JSON.stringify({ ...entry, born })).ok, String(born))
  t.true(parseServerEntry('servers/i-1', JSON.stringify({ ...entry, born: 1_700_000_000_000 })).ok)
})

test('the message has room for the revisions of 65,536 eras', (t) => {
  const state = stateOf({ serversRevision: storeRevision(2 ** 16, 2 ** 36 - 1) })
  t.is(decodeState(encodeState(state, 0)[0]!, 0).serversRevision, state.serversRevision)
  t.is(fleetWire.NodeState.decode(encodeState(state, 0)[0]!).serversEraPlusOne, 2 ** 16 + 1)
})

const ODD_REVISIONS: ReadonlyArray<readonly [number, number]> = [[2 ** 32 - 2, 0], [2 ** 16 + 1, 0], [0.5, 0], [1, 2 ** 36], [1, 0.5], [1, 1e300], [1e300, 1]]

// Guards against a fleet that follows the store no more: one state with an era of 2^32 was taken, passed on from node to node, and newer than any list since.
test('a fleet state of an era or a revision that no store gives out is not taken', (t) => {
  const body = (era: number, revision: number): Buffer => Buffer.from(JSON.stringify({ deployment: null, servers: { listed: [], era, revision } }))
  t.true(decodeSnapshot(body(2 ** 16, 2 ** 36 - 1), { era: 0, isKeyRequired: false }).ok)
  for (const [era, revision] of ODD_REVISIONS) t.false(decodeSnapshot(body(era, revision), { era: 0, isKeyRequired: false }).ok, `${era}.${revision}`)
})

test('a node that states such a revision is not asked for its state, nor are its evacuations taken', (t) => {
  const wire = fleetWire.NodeState.decode(encodeState(stateOf({}), 0)[0]!)
  for (const [serversEraPlusOne, serversRevision] of [[2 ** 32 - 1, 0n], [2 ** 16 + 2, 0n], [2, 2n ** 36n], [2, 2n ** 64n - 1n]] as Array<[number, bigint]>) {
    const state = decodeState(fleetWire.NodeState.encode({ ...wire, serversEraPlusOne, serversRevision }).finish(), 0)
    t.is(state.serversRevision, 0)
    t.is(decodeEvacuations({ revision: serversRevision, eraPlusOne: serversEraPlusOne, failureDomains: ['d1'] }), null)
  }
})
