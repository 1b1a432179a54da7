/** The stand-in of a backend server ends on certain parts of prompts, and sends answers of every framing. */
import { once } from 'node:events'
import { Agent, get } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'
import { answerBody, BackendFault, BackendStandin, encodePromptParts, Ledger, sharedParts, streamEvent, STREAM_EVENT_COUNT } from '@bluebellhill/platform-standin'

const HOST = '127.0.0.1'

const WHOLE_STREAM = Array.from({ length: STREAM_EVENT_COUNT }, (_, index) => streamEvent('r', index + 1)).join('')

const freePort = async (): Promise<number> => {
  const server = createServer()
  server.listen(0, HOST)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

const startStandin = async (t: ExecutionContext, fault: BackendFault): Promise<{ standin: BackendStandin, ledger: Ledger, port: number }> => {
  const ledger = new Ledger()
  const standin = new BackendStandin('i-1', ledger)
  standin.fault = fault
  const port = await freePort()
  await standin.start(HOST, port)
  t.teardown(async () => { await standin.dispose() })
  return { standin, ledger, port }
}

interface Answer {
  readonly body: string
  readonly whole: boolean
  readonly response: IncomingMessage | null
}

const call = async (port: number, path: string, parts: readonly string[] = []): Promise<Answer> => await new Promise((resolve) => {
  const headers = { [HeaderName.AttemptId]: 'r', [HeaderName.PromptParts]: encodePromptParts(parts) }
  const request = get({ host: HOST, port, path, agent: new Agent(), headers }, (response) => {
    let body = ''
    response.on('data', (chunk: Buffer) => { body += chunk.toString() })
    response.on('error', () => {})
    response.on('close', () => resolve({ body, whole: response.complete, response }))
  })
  request.on('error', () => resolve({ body: '', whole: false, response: null }))
})

test('the last part of a prompt is not shared', (t) => {
  t.deepEqual(sharedParts({ [HeaderName.PromptParts]: encodePromptParts(['aa', 'bb', 'cc']) }), ['aa', 'bb'])
  t.deepEqual(sharedParts({}), [])
})

test('a part of a prompt ends the server, unless it is the last', async (t) => {
  const { standin, ledger, port } = await startStandin(t, BackendFault.None)
  const crashed = new Promise<void>((resolve) => { standin.onCrash = resolve })
  standin.crashingParts = new Set(['dead'])
  t.is((await call(port, '/safe/r', ['aa', 'dead'])).body, answerBody('r'))
  const bystander = connect(port, HOST)
  const [ended] = await Promise.all([once(bystander, 'error'), call(port, '/stream/r', ['aa', 'dead', 'bb']), crashed])
  t.is((ended[0] as NodeJS.ErrnoException).code, 'ECONNRESET')
  t.like(ledger.crashes, [{ cause: 'dead', request: 'r', server: 'i-1' }])
  t.is((await call(port, '/safe/r')).response, null)
})

test('two requests that end the server at the same moment end it once', async (t) => {
  const { standin, ledger, port } = await startStandin(t, BackendFault.None)
  let crashes = 0
  standin.onCrash = () => { crashes += 1 }
  standin.crashingParts = new Set(['dead'])
  await Promise.all(Array.from({ length: 8 }, async () => await call(port, '/stream/r', ['dead', 'bb'])))
  t.is(crashes, 1)
  t.is(ledger.crashes.length, 1)
})

for (const [path, body] of [['/safe/r', answerBody('r')], ['/stream/r', WHOLE_STREAM]] as const) {
  test(`answers to ${path} with neither a length nor chunks`, async (t) => {
    for (const fault of [BackendFault.ClosedAnswers, BackendFault.Silence]) {
      const { port } = await startStandin(t, fault)
      const answer = await call(port, path)
      t.is(answer.body, body)
      t.is(answer.response?.headers['content-length'], undefined)
      t.is(answer.response?.headers['transfer-encoding'], undefined)
    }
  })

  test(`an answer to ${path} with neither a length nor chunks that is not whole`, async (t) => {
    const { port } = await startStandin(t, BackendFault.ClosedShort)
    const answer = await call(port, path)
    t.true(answer.body.length < body.length && body.startsWith(answer.body))
    t.false(answer.body.endsWith('\n\n'))
  })

  test(`answers to ${path} without end`, async (t) => {
    for (const fault of [BackendFault.EndlessHead, BackendFault.EndlessBody]) {
      const { port } = await startStandin(t, fault)
      const socket = connect(port, HOST)
      socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n${HeaderName.AttemptId}: r\r\n\r\n`)
      let received = 0
      for await (const chunk of socket) {
        received += (chunk as Buffer).length
        if (received > 4 * 1_024 * 1_024) break
      }
      t.true(received > 4 * 1_024 * 1_024)
    }
  })
}
