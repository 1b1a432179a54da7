/** A request that crashes each backend server that runs it, and comes again. */
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
