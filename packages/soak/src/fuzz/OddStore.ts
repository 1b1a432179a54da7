/** Stands between a node and the store, and answers some calls of the node oddly. */
import { once } from 'node:events'
import { createServer, request as httpRequest } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { HeaderName } from '@bluebellhill/platform'
import { STORE_NUMBERS, withFurtherPage } from '@bluebellhill/platform-standin'

import type { OddValues } from './OddValues.js'

/** Bytes of an answer that is too long to be one. */
const LONG_BYTES = 5_000_000

/** Pages in a row that state that there are more, although nothing follows. */
const REPEATED_PAGES = 200

/** Passes calls on to the store. */
export class OddStore {
  /** Calls that were answered oddly. */
  oddCount = 0
  #oddLeft = 0
  #repeatedPages = 0
  readonly #server: Server

  /**
   * @param store - address and port of the store
   * @param values - seeded odd values
   */
  constructor (private readonly store: { readonly host: string, readonly port: number }, private readonly values: OddValues) {
    this.#server = createServer((request, response) => { void this.#serve(request, response) })
  }

  async start (host: string, port: number): Promise<void> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
  }

  dispose (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Calls that are still to be answered oddly. */
  get oddLeft (): number {
    return this.#oddLeft
  }

  /** @param calls - number of calls to answer oddly from now on */
  answerOddly (calls: number): void {
    this.#oddLeft = calls
  }

  /** All further calls are answered by the store. */
  answerSoundly (): void {
    this.#oddLeft = 0
    this.#repeatedPages = 0
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const passed = httpRequest({ ...this.store, method: request.method, path: request.url, headers: request.headers, agent: false })
    response.once('close', () => passed.destroy())
    passed.on('error', () => response.destroy())
    request.on('error', () => passed.destroy()).pipe(passed)
    passed.once('response', (answer) => { void this.#answer(answer, response) })
  }

  async #answer (answer: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    try {
      for await (const chunk of answer) chunks.push(chunk as Buffer)
    } catch {
      response.destroy()
      return
    }
    const body = Buffer.concat(chunks)
    const text = body.toString('utf8')
    if (this.#repeatedPages > 0 && withFurtherPage(text) !== text) {
      this.#repeatedPages -= 1
      sendBody(response, answer, withFurtherPage(text))
    } else if (this.#oddLeft > 0 && this.values.random.between(0, 1) === 0) {
      this.#oddLeft -= 1
      this.oddCount += 1
      this.#answerOddly(answer, text, response)
    } else {
      sendBody(response, answer, body)
    }
  }

  #answerOddly (answer: IncomingMessage, body: string, response: ServerResponse): void {
    const { values } = this
    const { random } = values
    const sound = parsed(body)
    const raw = (text: string, end = true): void => {
      response.socket?.write(text, 'latin1')
      if (end) response.socket?.destroySoon()
    }
    const head = `HTTP/1.1 200 OK\r\n${HeaderName.StoreEra}: 1\r\ncontent-type: application/json\r\n`
    const kinds = [
      () => sendBody(response, answer, this.#changed(sound)),
      () => sendBody(response, answer, this.#changed(sound)),
      () => sendBody(response, answer, this.#changed(sound)),
      () => sendBody(response, answer, values.json()),
      () => sendBody(response, answer, body.slice(0, random.between(0, body.length))),
      () => sendBody(response, answer, body, { [HeaderName.StoreEra]: random.pick(['', 'x', '-1', '1e400', '0.5', 'NaN']) }),
      () => sendBody(response, answer, body, { 'content-encoding': 'gzip', 'retry-after': values.numberText().replace(/[^ -~]/g, '') }),
      () => sendBody(response, answer, `${body.slice(0, -1)},"more":"${'x'.repeat(LONG_BYTES)}"}`),
      // The rest never comes.
      () => raw(`${head}content-length: ${body.length + 10}\r\n\r\n${body}`, false),
      () => raw(`${head}\r\n`, false),
      () => raw(`HTTP/1.1 ${random.pick(['000', '099', '101', '199', '204', '304', '600', '999', '99999'])} X\r\ncontent-length: 0\r\n\r\n`),
      () => raw(`HTTP/1.1 ${random.pick([429, 503, 410, 404, 412])} X\r\nretry-after: ${values.number()}\r\ncontent-length: 2\r\n\r\n{}`),
      () => raw(`${'HTTP/1.1 100 Continue\r\n\r\n'.repeat(random.between(1, 2_000))}${head}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`),
      () => raw(`${head}x: ${'y'.repeat(random.between(1, 200_000))}\r\ncontent-length: 0\r\n\r\n`),
      () => raw(values.bytes(300).toString('latin1')),
      () => response.destroy(),
      () => {
        this.#repeatedPages = REPEATED_PAGES
        sendBody(response, answer, body)
      }
    ]
    random.pick(kinds)()
  }

  /** The answer of a sound store with one value that is no revision changed, so that it is no true one. */
  #changed (sound: object): string {
    return this.values.changed(sound, (path) => path.length === 0 || STORE_NUMBERS.includes(String(path.at(-1))))
  }
}

const parsed = (body: string): object => {
  try {
    return JSON.parse(body) as object
  } catch {
    return { items: [] }
  }
}

const sendBody = (response: ServerResponse, { statusCode = 200, headers }: IncomingMessage, body: string | Buffer, more: Readonly<Record<string, string>> = {}): void => {
  if (response.destroyed) return
  response.writeHead(statusCode, { 'content-type': 'application/json', [HeaderName.StoreEra]: headers[HeaderName.StoreEra], ...more })
  response.end(body)
}
