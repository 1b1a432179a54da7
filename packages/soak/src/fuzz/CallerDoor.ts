/** Requests of callers: heads, bodies and chunks that are odd, malformed or endless. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'

import { HeaderName } from '@bluebellhill/platform'
import { CALLER_HEADERS } from '@bluebellhill/platform-standin'

import { HOST, INPUT_MS, KEY, PORT } from './constants.js'
import { Door } from './Door.js'

/** Connections at the same time. */
const PARALLEL = 40

/** Time after which the caller leaves a request that it has not sent whole. */
const UNFINISHED_MS = 150

const METHODS = ['GET', 'GET', 'POST', 'POST', 'PUT', 'HEAD', 'DELETE', 'OPTIONS', 'PATCH', 'TRACE', 'M-SEARCH', 'PROPFIND', 'CONNECT', 'get', 'X', '']
const PATHS = ['/safe/a', '/safe/a', '/unsafe/a', '/stream/a', '/', '', '*', '//safe//', '/safe/%', '/safe/%00', '/safe/../unsafe/', '/safe/?a=b#c', 'http://fuzz.example/safe/', '/safe/\u00e9', `/safe/${'a/'.repeat(5_000)}`, '/nowhere/']
const VERSIONS = ['HTTP/1.1', 'HTTP/1.1', 'HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/9.9', 'http/1.1', '']

/** Headers that frame a request; `expect` makes a caller wait before it sends its body. */
const FRAMING = ['host', 'content-length', 'transfer-encoding', 'expect']

interface RawRequest {
  readonly bytes: string
  /** Whether it is a whole request with a sound frame, which has to come to an end. */
  readonly isWhole: boolean
}

/** Sends to the address at which the node accepts requests. */
export class CallerDoor extends Door {
  readonly name: string = 'callers'
  protected readonly port: number = PORT.callers
  #number = 0

  override async send (count: number): Promise<number> {
    let left = count
    const work = async (): Promise<void> => {
      while (left-- > 0) await this.#exchange(this.draw())
    }
    await Promise.all(Array.from({ length: PARALLEL }, work))
    return count
  }

  /** @returns headers that the request has beside those that are drawn */
  protected ownHeaders (): Array<readonly [string, string]> {
    return []
  }

  /** @returns a request */
  protected draw (): RawRequest {
    const { random } = this.values
    return random.between(0, 3) === 0 ? this.#malformed() : this.#whole()
  }

  /** A request that is well-formed, with odd values in its headers. */
  #whole (): RawRequest {
    const { values, values: { random } } = this
    const headers = new Map(this.#soundHeaders())
    for (let index = random.between(1, 3); index > 0; index -= 1) headers.set(random.pick(CALLER_HEADERS), values.headerValue())
    const lines = [...headers].map(([name, value]) => `${name}: ${value}`)
    if (random.between(0, 9) === 0) lines.push(`${random.pick(CALLER_HEADERS)}: ${values.headerValue()}`)
    lines.push(...this.ownHeaders().map(([name, value]) => `${name}: ${value}`))
    const body = this.#body()
    return { bytes: `${random.pick(['GET', 'POST', 'PUT'])} ${random.pick(['/safe/a', '/unsafe/a', '/stream/a', '/safe/a?b=c'])} HTTP/1.1\r\n${lines.join('\r\n')}\r\n${body}`, isWhole: !headers.has('upgrade') }
  }

  /** Rest of a request behind its headers. */
  #body (): string {
    const { values, values: { random } } = this
    const extension = (): string => random.pick(['', '', ';a', ';a=b', `;${'x'.repeat(random.between(1, 3_000))}`, ';a="b;c"'])
    const chunk = (text: string): string => `${text.length.toString(16)}${extension()}\r\n${text}\r\n`
    const chunked = (): string => `transfer-encoding: chunked\r\n\r\n${chunk('body')}${chunk('b')}0${extension()}\r\n${random.pick(['', '', 'x-trailer: 1\r\n', `x-trailer: ${values.headerValue()}\r\n`])}\r\n`
    return random.pick([() => '\r\n', () => 'content-length: 4\r\n\r\nbody', chunked])()
  }

  #malformed (): RawRequest {
    const { values, values: { random } } = this
    const headers: Array<readonly [string, string]> = this.#soundHeaders()
    for (let index = random.between(1, 4); index > 0; index -= 1) headers.push([random.pick([...CALLER_HEADERS, ...FRAMING, ...FRAMING]), random.between(0, 4) === 0 ? values.bytes(100).toString('latin1') : values.headerValue()])
    headers.push(...this.ownHeaders())
    const line = `${random.pick(METHODS)} ${random.pick(PATHS)} ${random.pick(VERSIONS)}`
    const body = random.pick(['', 'body', 'ffffffffffffffff\r\nx', '-1\r\n', '4;\r\nbody\r\n', 'g\r\n', values.bytes(300).toString('latin1')])
    const bytes = `${line}\r\n${headers.map(([name, value]) => `${name}:${value}`).join(random.pick(['\r\n', '\r\n', '\n', '\r']))}\r\n\r\n${body}`
    return { bytes: random.pick([bytes, bytes, bytes.slice(0, random.between(0, bytes.length)), values.bytes(2_000).toString('latin1')]), isWhole: false }
  }

  #soundHeaders (): Array<[string, string]> {
    this.#number += 1
    return [['host', HOST], ['authorization', `Bearer ${KEY}`], [HeaderName.AttemptId, `fuzz-${this.#number}`], [HeaderName.Deadline, '1500'], [HeaderName.PromptSize, '5000,400']]
  }

  async #exchange ({ bytes, isWhole }: RawRequest): Promise<void> {
    const socket = connect({ host: this.fleet.nodeHost, port: this.port })
    const hasEnded = await this.#sendAndWait(socket, bytes, isWhole ? INPUT_MS : UNFINISHED_MS)
    socket.destroy()
    if (isWhole && !hasEnded) this.faults.push(`no end within ${INPUT_MS} ms: ${JSON.stringify(bytes.slice(0, 500))}`)
  }

  /** @returns whether an answer came, or the connection was closed */
  async #sendAndWait (socket: Socket, bytes: string, time: number): Promise<boolean> {
    return await new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), time)
      const end = (): void => {
        clearTimeout(timer)
        resolve(true)
      }
      socket.on('error', end)
      socket.once('close', end)
      socket.once('data', end)
      socket.write(bytes, 'latin1')
    })
  }
}
