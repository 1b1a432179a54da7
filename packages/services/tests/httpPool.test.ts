import test from 'ava'
import type { ExecutionContext } from 'ava'
import { createServer } from 'node:net'
import { setTimeout } from 'node:timers/promises'
import type { AddressInfo, Server, Socket } from 'node:net'

import { HttpModelEngine, HttpPlainService, HttpPool, deriveRan } from '../src/index.js'
import type { CallFailure } from '../src/index.js'

const listen = async (onSocket: (socket: Socket) => void): Promise<{ server: Server, address: string }> => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    onSocket(socket)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

const writeResponse = (socket: Socket, status: string, headers: string[], body: string): void => {
  socket.write([`HTTP/1.1 ${status}`, ...headers, `content-length: ${Buffer.byteLength(body)}`, '', body].join('\r\n'))
}

const runCompletion = async (address: string): Promise<{ failure: CallFailure | null, sending: number }> => {
  const pool = new HttpPool(8, 500)
  let sending = 0
  const result = await new HttpModelEngine(pool, address).complete({ body: '{}', timeout: 2_000, onSending: () => { sending += 1 } })
  if (result.ok) result.value.body.on('error', () => {})
  await pool.dispose()
  return { failure: result.ok ? null : result.failure, sending }
}

test('a call over a refused connection did not run', async (t) => {
  const { server, address } = await listen(() => {})
  await new Promise((resolve) => server.close(resolve))
  const { failure, sending } = await runCompletion(address)
  t.is(failure?.type, 'not_sent')
  t.is(deriveRan(failure!), 'no')
  t.is(sending, 0)
})

test('a call whose connection is reset after the request may have run and is not sent again', async (t) => {
  let received = 0
  const { server, address } = await listen((socket) => socket.once('data', () => {
    received += 1
    socket.resetAndDestroy()
  }))
  const { failure, sending } = await runCompletion(address)
  server.close()
  t.is(failure?.type, 'interrupted')
  t.is(deriveRan(failure!), 'unknown')
  t.is(sending, 1)
  t.is(received, 1)
})

test('a call with incomplete response headers may have run', async (t) => {
  const { server, address } = await listen((socket) => socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\ncontent-')))
  const { failure } = await runCompletion(address)
  server.close()
  t.is(deriveRan(failure!), 'unknown')
})

test('an error response counts as not started only if the server reports it', async (t) => {
  const bodies = ['{"error":{"code":"no_capacity","started":false}}', '{"error":{"code":"no_capacity"}}', 'oops', '{"error":null}', '']
  const seen: string[] = []
  for (const body of bodies) {
    const { server, address } = await listen((socket) => socket.once('data', () => writeResponse(socket, '503 Service Unavailable', ['retry-after: 2', 'connection: close'], body)))
    const { failure } = await runCompletion(address)
    server.close()
    seen.push(failure?.type ?? 'none')
    if (failure?.type === 'not_started') t.is(failure.retryAfter, 2_000)
  }
  t.deepEqual(seen, ['not_started', 'rejected', 'rejected', 'rejected', 'rejected'])
})

test('a call to a server that never responds ends by its timeout', async (t) => {
  const { server, address } = await listen(() => {})
  const { failure } = await runCompletion(address)
  server.close()
  t.is(failure?.type, 'interrupted')
})

test('a plain service reports by a header that it did not start a call', async (t) => {
  const { server, address } = await listen((socket) => socket.on('data', () => writeResponse(socket, '503 Service Unavailable', ['x-not-started: 1'], '')))
  const pool = new HttpPool()
  const result = await new HttpPlainService(pool, address).call({ method: 'POST', path: '/orders', headers: {}, body: 'x', timeout: 2_000 })
  await pool.dispose()
  server.close()
  t.is(result.ok ? 'ok' : result.failure.type, 'not_started')
})

test('consecutive calls share a connection', async (t) => {
  let sockets = 0
  const { server, address } = await listen((socket) => {
    sockets += 1
    socket.on('data', (piece) => {
      if (piece.includes('request_id')) writeResponse(socket, '200 OK', [], '{"cancelled":true}')
    })
  })
  const pool = new HttpPool()
  t.teardown(async () => {
    await pool.dispose()
    server.close()
  })
  const engine = new HttpModelEngine(pool, address)
  t.deepEqual(await engine.cancel('a'), { ok: true, value: true })
  await setTimeout(20)
  t.deepEqual(await engine.cancel('b'), { ok: true, value: true })
  t.is(sockets, 1)
})

/** Answers a first call twice, the second time when the next call arrives on the same connection; it answers that one later. */
const answersTwice = async (t: ExecutionContext): Promise<string> => {
  const { server, address } = await listen((socket) => {
    let calls = 0
    socket.on('data', () => {
      calls += 1
      writeResponse(socket, '200 OK', [], calls === 1 ? 'own' : 'first')
    })
  })
  t.teardown(() => { server.close() })
  return address
}

// Guards against an answer that reaches the next caller, because its server sends a second copy late on a connection in use again.
test('a second copy of an answer does not reach the next caller of a plain service', async (t) => {
  const pool = new HttpPool()
  t.teardown(async () => { await pool.dispose() })
  const service = new HttpPlainService(pool, await answersTwice(t))
  const bodies: string[] = []
  for (const path of ['/first', '/second']) {
    const answer = await service.call({ method: 'POST', path, headers: {}, body: 'x', timeout: 2_000 })
    if (answer.ok) for await (const chunk of answer.value.body) bodies.push(String(chunk))
    await setTimeout(20)
  }
  t.deepEqual(bodies, ['own', 'own'])
})

// Guards against a part of an answer that passes for a success: its connection was reset, and nothing states its length.
test('an answer of a plain service without a length is broken off by a reset', async (t) => {
  const { server, address } = await listen((socket) => socket.once('data', () => {
    socket.write('HTTP/1.1 200 OK\r\n\r\na part')
    void setTimeout(50).then(() => socket.resetAndDestroy())
  }))
  const pool = new HttpPool()
  t.teardown(async () => {
    await pool.dispose()
    server.close()
  })
  const answer = await new HttpPlainService(pool, address).call({ method: 'POST', path: '/x', headers: {}, body: 'x', timeout: 2_000 })
  if (!answer.ok) throw new Error('no head')
  const chunks = answer.value.body[Symbol.asyncIterator]()
  await t.throwsAsync(async () => { while (!(await chunks.next()).done) { /* read to its end */ } }, { message: /ECONNRESET/ })
})
