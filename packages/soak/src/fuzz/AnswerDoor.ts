/** Answers of backend servers: heads, bodies and streams of events that are odd, malformed or long. */
import { HeaderName, ORDER_PATH } from '@bluebellhill/platform'
import { SERVER_HEADERS, WEIGHT_VERSION_HEADER } from '@bluebellhill/platform-standin'

import { PORT, PROMPT_SIZES, SERVICE } from './constants.js'
import { Door } from './Door.js'
import { isEnded, noEnd } from './requests.js'
import { startRawServer } from './servers.js'
import type { RawAnswer, RawServer } from './servers.js'

const FIRST_SERVER = 111
const SERVERS_PER_SERVICE = 3

/** Requests at the same time. */
const PARALLEL = 30

const STATUSES = ['100', '101', '102', '103', '150', '199', '200', '200', '200', '201', '204', '205', '206', '299', '304', '400', '404', '408', '421', '429', '500', '502', '503', '503', '504', '599', '600', '999', '000', '1000', '-1', 'OK', '']

const LONG_ID_BYTES = 1_000_000

/** Requests reach servers that answer them so. */
export class AnswerDoor extends Door {
  readonly name = 'answers'
  readonly #servers: Array<{ readonly service: string, readonly server: RawServer, id: string }> = []
  #number = 0

  override async send (count: number): Promise<number> {
    await this.#register()
    const before = this.#answered()
    let left = count
    const work = async (): Promise<void> => {
      while (left-- > 0) await this.#ask()
    }
    await Promise.all(Array.from({ length: PARALLEL }, work))
    for (const { id } of this.#servers) this.fleet.unregister(id)
    return this.#answered() - before
  }

  override dispose (): void {
    for (const { server } of this.#servers) server.dispose()
  }

  /** What is known of a server ends with its id. */
  async #register (): Promise<void> {
    const services = [SERVICE.odd, SERVICE.oddEngines].flatMap((service) => Array.from({ length: SERVERS_PER_SERVICE }, () => service))
    for (const [index, service] of services.entries()) {
      const known = this.#servers[index] ?? { service, server: await startRawServer(this.fleet.host(FIRST_SERVER + index), PORT.server, (head) => this.#answer(head)), id: '' }
      this.#servers[index] = known
      this.#number += 1
      known.id = `i-odd-${this.#number}`
      this.fleet.register(known.id, service, known.server.address)
    }
  }

  #answered (): number {
    return this.#servers.reduce((sum, { server }) => sum + server.answered, 0)
  }

  async #ask (): Promise<void> {
    const { random } = this.values
    this.#number += 1
    const id = `ask-${this.#number}`
    const path = random.pick(['/odd/a', '/odd-unsafe/a', '/stream/a', '/stream/a'])
    const method = random.pick(['GET', 'POST', 'HEAD'])
    if (!await isEnded(this.fleet, { id, path, method, promptSize: random.pick(PROMPT_SIZES), promptParts: `${random.between(1, 1_000_000).toString(16)}:400` })) this.faults.push(noEnd(id, path))
  }

  #answer (head: string): RawAnswer {
    const headerOf = (name: string): string => new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim() ?? ''
    const id = headerOf(HeaderName.AttemptId)
    const isOrder = head.startsWith(`POST ${ORDER_PATH}`)
    const { random } = this.values
    if (isOrder) return random.between(0, 1) === 0 ? json('{"free":1000}') : this.#oddOrder()
    const server = headerOf(HeaderName.ExpectedServer)
    const isStream = / \/stream\//.test(head.slice(0, 200))
    return isStream && random.between(0, 1) === 0 ? this.#stream(id, server) : this.#oddAnswer(id, server)
  }

  #oddOrder (): RawAnswer {
    const { values, values: { random } } = this
    const kinds: Array<() => RawAnswer> = [
      () => json(values.document({ free: 41_200 })),
      () => [`HTTP/1.1 ${random.pick(STATUSES)} X\r\ncontent-length: 0\r\n\r\n`, null],
      () => ['HTTP/1.1 200 OK\r\n\r\n', ...Array.from({ length: 50 }, () => '['.repeat(100_000))],
      () => ['HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n', '{'],
      () => [values.bytes(200), null],
      () => [null]
    ]
    return random.pick(kinds)()
  }

  #soundHeaders (id: string, server: string): Array<[string, string]> {
    return [[HeaderName.AttemptId, id], [HeaderName.ServerId, server], [HeaderName.Signature, 'signature']]
  }

  #oddAnswer (id: string, server: string): RawAnswer {
    const { values, values: { random } } = this
    const headers = this.#soundHeaders(id, server)
    for (let index = random.between(0, 4); index > 0; index -= 1) headers.push([random.pick(SERVER_HEADERS), random.between(0, 9) === 0 ? values.bytes(60).toString('latin1') : values.headerValue()])
    if (random.between(0, 19) === 0) headers.push(['x-long', 'y'.repeat(random.between(1, 120_000))])
    if (random.between(0, 9) === 0) headers.shift()
    const informational = random.between(0, 9) === 0 ? `HTTP/1.1 ${random.pick([100, 102, 103, 101, 199])} X\r\nx: y\r\n\r\n`.repeat(random.between(1, 1_000)) : ''
    const top = `${informational}HTTP/1.1 ${random.pick(STATUSES)} X\r\n${headers.map(([name, value]) => `${name}: ${value}`).join('\r\n')}\r\n`
    const kinds: Array<() => RawAnswer> = [
      () => [Buffer.from(`${top}content-length: 2\r\n\r\nok`, 'latin1'), null],
      () => [Buffer.from(`${top}content-length: 2\r\n\r\nok`, 'latin1'), null],
      () => [Buffer.from(`${top}transfer-encoding: chunked\r\n\r\n2;${'x'.repeat(random.between(0, 500))}\r\nok\r\n0\r\nx-trailer: ${values.headerValue()}\r\n\r\n`, 'latin1'), null],
      () => [Buffer.from(`${top}\r\nok`, 'latin1'), null],
      () => [Buffer.from(top.slice(0, random.between(0, top.length)), 'latin1'), null],
      () => [Buffer.from(`${top}content-length: ${values.number()}\r\n\r\nok`, 'latin1'), null],
      () => [values.bytes(500), null]
    ]
    return random.pick(kinds)()
  }

  #stream (id: string, server: string): RawAnswer {
    const { values, values: { random } } = this
    const top = `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n${this.#soundHeaders(id, server).map(([name, value]) => `${name}: ${value}`).join('\r\n')}\r\n\r\n`
    const event = (): string => random.pick([
      () => 'id: 1\ndata: a\n\n',
      () => `id: ${values.numberText()}\ndata: a\n\n`,
      () => `id: ${'9'.repeat(random.between(1, LONG_ID_BYTES))}\ndata: a\n\n`,
      () => `id\ndata\n:${'c'.repeat(5_000)}\n\n`,
      () => `${WEIGHT_VERSION_HEADER}: ${values.numberText()}\nid: 2\ndata: a\n\n`,
      () => `${'\n'.repeat(random.between(1, 20_000))}`,
      () => `${'\r'.repeat(random.between(1, 20_000))}`,
      () => `data: ${values.json()}\r\n\r\n`,
      () => `retry: ${values.number()}\nevent: ${values.headerValue()}\n\n`,
      () => values.bytes(500).toString('latin1')
    ])()
    const events = Array.from({ length: random.between(0, 6) }, () => Buffer.from(event(), 'latin1'))
    return [Buffer.from(top, 'latin1'), ...events, null]
  }
}

const json = (body: string): RawAnswer => [`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`, null]
