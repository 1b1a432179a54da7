/** Callers and backend servers that read slowly, beside others: the memory of the node stays bounded, and the others are served. */
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { headText, openCaller } from './callers.js'
import { ForwardFixture, HOST, KEY } from './forwardFixture.js'
import { flood, signedHead, startRawServer } from './rawServer.js'
import type { RawScript } from './rawServer.js'

const LIMIT = 4_000_000
const POLL_MS = 10
const EVENT = `data: ${'x'.repeat(1_024)}\n\n`

/** More than the buffers of the operating system take. */
const LONG_ANSWER = 'x'.repeat(16_000_000)

/** A request for a path with `long` gets a long answer, any other one a short one. */
const answers: RawScript = (socket, request) => {
  socket.end(signedHead(request, 'connection: close\r\n') + (/^POST \S*long/.test(request) ? LONG_ANSWER : EVENT))
}

/** Sends events without end to a request for a path with `long`, and one event to any other one. */
const streams: RawScript = (socket, request) => {
  if (!/^POST \S*long/.test(request)) return answers(socket, request)
  socket.write(signedHead(request, 'connection: close\r\n'))
  flood(socket, EVENT)
}

/** Sends a request whose answer is not read. */
const callWithoutReading = (t: ExecutionContext, { port }: ForwardFixture, path: string, version = '1.1'): Socket => {
  const caller = connect(port, '127.0.0.1')
  t.teardown(() => { caller.destroy() })
  caller.pause()
  caller.on('error', () => {})
  caller.write(`POST ${path} HTTP/${version}\r\nhost: ${HOST}\r\nauthorization: Bearer ${KEY}\r\n${HeaderName.AttemptId}: slow\r\ncontent-length: 0\r\n\r\n`)
  return caller
}

const until = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await sleep(POLL_MS)
}

const metricOf = async ({ metrics }: ForwardFixture, name: string): Promise<number> =>
  Number(new RegExp(`^${name} (\\d+)$`, 'm').exec(await metrics.registry.metrics())?.[1] ?? 0)

// Guards against streams that together fill the memory of the node, each within its own limit of 8 MiB.
test.serial('callers that do not read their streams are cut off, and others are served', async (t) => {
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, streams)], LIMIT)
  const slow = Array.from({ length: 6 }, () => callWithoutReading(t, fixture, '/patient-once/long'))
  let highest = 0
  const timer = setInterval(() => { highest = Math.max(highest, fixture.buffers.total) }, 1)
  t.teardown(() => clearInterval(timer))
  while (fixture.linesOf('caller.cut_off').length === 0) t.like(await fixture.call('/patient-once/x'), { status: 200, body: EVENT, whole: true })
  t.like(await fixture.call('/patient-once/x'), { status: 200, body: EVENT, whole: true })
  t.log(`buffered at most ${highest} bytes`)
  t.true(highest <= LIMIT)
  t.true(await metricOf(fixture, 'bluebellhill_servers_held_total') > 0)
  t.is(fixture.linesOf('attempt.failed').length, 0)
  t.regex(fixture.linesOf('request.unanswered')[0] ?? '', /request=slow stage=answer cause=slow_reader/)
  for (const caller of slow) caller.destroy()
  await until(() => fixture.entry.openRequests === 0)
  t.is(fixture.buffers.total, 0)
})

// Guards against plain answers that are buffered without a bound after they have been written.
test.serial('callers that do not read their plain answers are cut off in favour of others', async (t) => {
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, answers)], 20_000_000)
  callWithoutReading(t, fixture, '/patient/long')
  await until(() => fixture.linesOf('request.ended').length > 0)
  await sleep(1_100)
  t.true(fixture.buffers.total > 0)
  const answer = await fixture.call('/patient/long')
  t.true(answer.whole && answer.body === LONG_ANSWER)
  t.regex(fixture.linesOf('caller.cut_off')[0] ?? '', /request=slow /)
})

// Guards against bytes that stay counted, or are released twice, and against a sound server that is avoided because the node has no room.
for (const [limit, avoided, reason] of [[LIMIT, 0, /the buffers of the node are full/], [100_000_000, 1, /an answer of more than/]] as const) {
  test.serial(`an endless plain answer at a node that buffers ${limit} bytes ends, and all of its bytes come back`, async (t) => {
    const port = await startRawServer(t, (socket, request) => {
      socket.write(signedHead(request, 'connection: close\r\n'))
      flood(socket, 'x')
    })
    const fixture = await ForwardFixture.startWithPorts(t, [port], limit)
    t.is((await fixture.call('/patient-unsafe/x')).status, 502)
    t.regex(fixture.linesOf('attempt.failed')[0] ?? '', reason)
    t.is(fixture.linesOf('server.avoided').length, avoided)
    await until(() => fixture.entry.openRequests === 0)
    t.is(fixture.buffers.total, 0)
  })
}

// Guards against an answer without a length that looks complete because its connection is closed.
test.serial('a caller of HTTP/1.0 that is cut off sees a reset', async (t) => {
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, streams)], LIMIT / 10)
  const caller = callWithoutReading(t, fixture, '/patient-once/long', '1.0')
  await until(() => fixture.linesOf('caller.cut_off').length > 0)
  // libuv reports an end if a reset arrives together with bytes; a socket that was reset has no remote address.
  const ended = once(caller, 'end').then(() => caller.remoteAddress === undefined, () => true)
  caller.resume()
  t.true(await ended)
})

// Guards against data that is lost or reordered while a server is held back, and against a hold that never ends.
test.serial('a stream whose server was held back arrives complete', async (t) => {
  const events = Array.from({ length: 20_000 }, (_, id) => `id: ${id}\n${EVENT}`).join('')
  const port = await startRawServer(t, (socket, request) => { socket.end(signedHead(request, 'connection: close\r\n') + events) })
  const fixture = await ForwardFixture.startWithPorts(t, [port], LIMIT)
  const caller = callWithoutReading(t, fixture, '/patient-once/x', '1.0')
  await until(() => fixture.linesOf('attempt.held').length > 0)
  let received = ''
  caller.on('data', (chunk) => { received += String(chunk) })
  caller.resume()
  await once(caller, 'end')
  t.true(received.endsWith(`\r\n\r\n${events}`))
  t.is(fixture.linesOf('caller.cut_off').length, 0)
})

// Guards against undici's assertion on a parser that is paused, which ends the process.
for (const method of ['resetAndDestroy', 'destroy'] as const) {
  test.serial(`a server that closes the connection by ${method} while it is held back fails the attempt only`, async (t) => {
    let server: Socket | null = null
    const port = await startRawServer(t, (socket, request) => {
      server = socket
      socket.write(signedHead(request, 'transfer-encoding: chunked\r\n'))
      flood(socket, `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`)
    })
    const fixture = await ForwardFixture.startWithPorts(t, [port], LIMIT)
    const caller = callWithoutReading(t, fixture, '/patient-once/long')
    await until(() => fixture.linesOf('attempt.held').length > 0);
    (server as Socket | null)?.[method]()
    caller.resume()
    await until(() => fixture.linesOf('request.ended').length > 0)
    t.regex(fixture.linesOf('attempt.failed')[0] ?? '', /end=lost /)
  })
}

// Guards against a caller that keeps memory for as long as it likes by sending its body slowly.
test.serial('a request whose body is incomplete at its deadline is refused, and its memory released', async (t) => {
  const fixture = await ForwardFixture.startWithPorts(t, [await startRawServer(t, answers)], LIMIT)
  const { socket, received } = await openCaller(t, fixture)
  socket.write(`${headText('/safe/x', 'content-length: 100', `${HeaderName.Deadline}: 300`)}part`)
  await until(() => fixture.buffers.total > 0)
  await once(socket, 'end')
  t.regex(received(), /^HTTP\/1.1 503 [^]*"timed_out_unsent"/)
  await until(() => fixture.buffers.total === 0)
})

// Guards against request bodies that fill the memory of the node, and against a refusal of a request that has run.
test.serial('a request whose body finds no room is refused at once and not sent', async (t) => {
  let requests = 0
  const port = await startRawServer(t, (socket, request) => {
    requests += 1
    answers(socket, request)
  })
  const fixture = await ForwardFixture.startWithPorts(t, [port], 1_000)
  const body = 'x'.repeat(501)
  for (const headers of [undefined, { 'transfer-encoding': 'chunked' }]) {
    const answer = await fixture.call('/unsafe/x', { body, headers })
    t.like(answer, { status: 503, body: '{"error":{"code":"node_memory"}}' })
    t.is(answer.headers['retry-after'], '0.3')
  }
  t.is(requests, 0)
  t.is(fixture.buffers.total, 0)
  t.regex(fixture.linesOf('request.refused')[0] ?? '', /cause=node_memory .*limit_bytes=1000/)
})
