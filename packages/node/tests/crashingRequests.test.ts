/** A request that crashes each backend server that runs it, and comes again. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Answer, Script } from './forwardFixture.js'

const SERVER_COUNT = 8
const REPETITIONS = 12
const REPETITION_INTERVAL_MS = 300

/** Crashes that show what the request does, and repetitions that may still reach servers after them. */
const MAX_ARRIVALS = 6

const EXECUTION_MS = 20

/** Time for which a crashed server is away, and time from its return until nodes know its new start. */
const DOWN_MS = 700
const NEWS_DELAY_MS = 300

const SOUND_INTERVAL_MS = 20

const portOf = (server: Server): number => (server.address() as AddressInfo).port

type Call = (fixture: ForwardFixture) => Promise<Answer>

/** Servers that end under each request that a test calls deadly, and are back at once under a new start time. */
class CrashingServers {
  arrivals = 0
  #fixture: ForwardFixture | null = null

  constructor (private readonly isDeadly: (url: string, headers: Readonly<Record<string, unknown>>) => boolean) {}

  async start (t: ExecutionContext): Promise<ForwardFixture> {
    this.#fixture = await ForwardFixture.start(t, ...Array.from({ length: SERVER_COUNT }, (_, index) => this.#script(`e${index}`)))
    return this.#fixture
  }

  #script (id: string): Script {
    return (request, response, socket) => {
      const isDeadly = this.isDeadly(request.url ?? '', request.headers)
      if (isDeadly) this.arrivals += 1
      setTimeout(() => {
        if (!isDeadly) {
          const isStream = request.url?.startsWith('/once/') === true || request.url?.startsWith('/stream/') === true
          response.writeHead(200, signedHeaders(request)).end(isStream ? 'id: 1\n\nid: 2\n\n' : 'an answer')
          return
        }
        socket.destroy()
        this.#fixture?.restartServer(id)
      }, EXECUTION_MS)
    }
  }
}

/** Sends the deadly request again and again beside sound ones; returns its last answer. */
const repeat = async (t: ExecutionContext, fixture: ForwardFixture, deadly: Call, sound: Call): Promise<Answer> => {
  let last = await deadly(fixture)
  for (let index = 1; index < REPETITIONS; index += 1) {
    t.is((await sound(fixture)).status, 200, `sound request ${index}`)
    await sleep(REPETITION_INTERVAL_MS)
    last = await deadly(fixture)
  }
  return last
}

const assertRefused = (t: ExecutionContext, { status, headers, body }: Answer): void => {
  t.is(status, 400)
  t.is(headers['retry-after'], undefined)
  t.deepEqual(JSON.parse(body), { error: { code: 'request_quarantined_unsent', ran: 'no' } })
}

/** Guards against repetitions of one GET that end a plain service's servers one after the other. */
test('a GET that crashes servers of a plain service is refused', async (t) => {
  const servers = new CrashingServers((url) => url === '/safe/deadly')
  const fixture = await servers.start(t)
  const get = (path: string): Call => async (each) => await each.call(path, { method: 'GET', body: '' })
  assertRefused(t, await repeat(t, fixture, get('/safe/deadly'), get('/safe/sound')))
  t.true(servers.arrivals <= MAX_ARRIVALS, `${servers.arrivals} arrivals`)
})

/** Guards against a verdict on a path that sound requests with other bodies use. */
test('one body of a path that crashes servers is refused, and the others are answered', async (t) => {
  const servers = new CrashingServers((_, headers) => headers['content-length'] === '6')
  const fixture = await servers.start(t)
  const post = (body: string): Call => async (each) => await each.call('/safe/x', { body })
  assertRefused(t, await repeat(t, fixture, post('deadly'), post('sound')))
  t.true(servers.arrivals <= MAX_ARRIVALS, `${servers.arrivals} arrivals`)
})

/** Guards against repetitions by the caller of a request that its node never sends twice. */
test('a request that may run once and crashes servers is refused when its caller repeats it', async (t) => {
  const servers = new CrashingServers((url) => url === '/unsafe/deadly')
  const fixture = await servers.start(t)
  assertRefused(t, await repeat(t, fixture, async (each) => await each.call('/unsafe/deadly'), async (each) => await each.call('/unsafe/sound')))
  t.true(servers.arrivals <= MAX_ARRIVALS, `${servers.arrivals} arrivals`)
})

/** Guards against a verdict on the prompt parts that a deadly stream shares with sound ones. */
test('a stream that crashes servers is refused, and sound ones with the same shared part are answered', async (t) => {
  const servers = new CrashingServers((url) => url === '/stream/deadly')
  const fixture = await servers.start(t)
  const stream = (path: string, own: string): Call => async (each) => await each.call(path, { headers: { [HeaderName.PromptParts]: `feed0:40,${own}:40` } })
  t.is((await stream('/stream/sound', 'b0')(fixture)).status, 200)
  assertRefused(t, await repeat(t, fixture, stream('/stream/deadly', 'a0'), stream('/stream/sound', 'b1')))
  t.true(servers.arrivals <= MAX_ARRIVALS, `${servers.arrivals} arrivals`)
})

/** Servers on ports of their own that are away after each deadly request, and back under their ids before their new start is known. */
class LateServers {
  arrivals = 0
  readonly #servers: Server[] = []
  #fixture: ForwardFixture | null = null

  async start (t: ExecutionContext): Promise<ForwardFixture> {
    const ports: number[] = []
    for (const id of ['e0', 'e1', 'e2']) {
      const server = createServer((request, response) => {
        request.resume()
        if (request.url !== '/unsafe/deadly') response.writeHead(200, signedHeaders(request)).end('an answer')
        else this.#crash(id, server)
      })
      server.listen(0, '127.0.0.1')
      await once(server, 'listening')
      ports.push(portOf(server))
      this.#servers.push(server)
    }
    this.#fixture = await ForwardFixture.startWithPorts(t, ports)
    t.teardown(() => { for (const server of this.#servers) server.close() })
    return this.#fixture
  }

  #crash (id: string, server: Server): void {
    this.arrivals += 1
    const port = portOf(server)
    server.close()
    server.closeAllConnections()
    setTimeout(() => server.listen(port, '127.0.0.1'), DOWN_MS)
    setTimeout(() => this.#fixture?.restartServer(id), DOWN_MS + NEWS_DELAY_MS)
  }
}

/** Sends sound requests, one after the other. */
const callUntil = async (over: AbortSignal, fixture: ForwardFixture): Promise<void> => {
  for (let index = 0; !over.aborted; index += 1) {
    await fixture.call(`/unsafe/${index}`)
    await sleep(SOUND_INTERVAL_MS)
  }
}

/** Guards against BUDGET: servers that are back refuted their own crashes, so that the request reached them for ever. */
test('a request that crashes servers is refused although their new starts become known late', async (t) => {
  const servers = new LateServers()
  const fixture = await servers.start(t)
  const over = new AbortController()
  const soundRequests = callUntil(over.signal, fixture)
  for (let index = 0; index < 2 * REPETITIONS; index += 1) {
    await fixture.call('/unsafe/deadly')
    await sleep(REPETITION_INTERVAL_MS)
  }
  over.abort()
  await soundRequests
  t.true(servers.arrivals <= MAX_ARRIVALS, `${servers.arrivals} arrivals`)
})
