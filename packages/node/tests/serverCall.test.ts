import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Worker } from 'node:worker_threads'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { ServerCall } from '../src/forward/backend/ServerCall.js'

const HEAD = 'HTTP/1.1 200 OK\r\n'
const CONNECT_TIMEOUT = 1_000

interface ReceivedAnswer {
  readonly text: string
  readonly end: string
}

/** Serves one connection with the given script, and returns the answer that the call reports. */
const answerOf = async (t: ExecutionContext, script: (socket: Socket) => void, method = 'GET', body = Buffer.alloc(0)): Promise<ReceivedAnswer> => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => script(socket))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => { server.close() })
  const { port } = server.address() as AddressInfo
  return await new Promise((resolve) => {
    let text = ''
    // eslint-disable-next-line no-new -- the call reports to its listener
    new ServerCall({ address: `127.0.0.1:${port}`, method, path: '/', headers: [], body, connectTimeout: CONNECT_TIMEOUT }, {
      onHead: () => {},
      onData: (chunk) => { text += chunk.toString() },
      onEnd: () => resolve({ text, end: 'ended' }),
      onFailure: (mayBeSent) => resolve({ text, end: mayBeSent ? 'broke' : 'not sent' }),
      onOversize: () => resolve({ text, end: 'oversized' })
    })
  })
}

/** Resets the connection after a delay in which the written bytes arrive. */
const resetAfterDelay = (socket: Socket): void => { setTimeout(() => socket.resetAndDestroy(), 30) }

test('a chunked answer with its last chunk is complete', async (t) => {
  const seen = await answerOf(t, (socket) => socket.end(`${HEAD}transfer-encoding: chunked\r\nconnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n`))
  t.deepEqual(seen, { text: 'abc', end: 'ended' })
})

test('a chunked answer that is closed before its last chunk is not complete', async (t) => {
  const seen = await answerOf(t, (socket) => socket.end(`${HEAD}transfer-encoding: chunked\r\nconnection: close\r\n\r\n3\r\nabc\r\n`))
  t.is(seen.end, 'broke')
})

test('a chunked answer that is reset before its last chunk is not complete', async (t) => {
  const seen = await answerOf(t, (socket) => {
    socket.write(`${HEAD}transfer-encoding: chunked\r\nconnection: close\r\n\r\n3\r\nabc\r\n`)
    resetAfterDelay(socket)
  })
  t.is(seen.end, 'broke')
})

test('an answer without a length is complete when its connection is closed', async (t) => {
  const seen = await answerOf(t, (socket) => socket.end(`${HEAD}connection: close\r\n\r\nabc`))
  t.deepEqual(seen, { text: 'abc', end: 'ended' })
})

test('an answer without a length is not complete when its connection is reset', async (t) => {
  const seen = await answerOf(t, (socket) => {
    socket.write(`${HEAD}connection: close\r\n\r\nabc`)
    resetAfterDelay(socket)
  })
  t.is(seen.end, 'broke')
})

test('an answer shorter than its length is not complete', async (t) => {
  const seen = await answerOf(t, (socket) => socket.end(`${HEAD}content-length: 9\r\nconnection: close\r\n\r\nabc`))
  t.is(seen.end, 'broke')
})

test('bytes after a complete answer are not part of it', async (t) => {
  const seen = await answerOf(t, (socket) => socket.end(`${HEAD}content-length: 3\r\n\r\nabc${HEAD}content-length: 3\r\n\r\nxyz`))
  t.deepEqual(seen, { text: 'abc', end: 'ended' })
})

test('an answer may arrive before the long body of its request is read', async (t) => {
  const seen = await answerOf(t, (socket) => {
    socket.pause()
    socket.write('HTTP/1.1 413 Too Large\r\ncontent-length: 3\r\n\r\nbig')
  }, 'POST', Buffer.alloc(4 * 1024 * 1024))
  t.deepEqual(seen, { text: 'big', end: 'ended' })
})

test('a connection that is refused leaves the request unsent', async (t) => {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  const sent = await new Promise<boolean>((resolve) => {
    // eslint-disable-next-line no-new -- the call reports to its listener
    new ServerCall({ address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), connectTimeout: CONNECT_TIMEOUT }, {
      onHead: () => {}, onData: () => {}, onEnd: () => {}, onFailure: resolve, onOversize: () => {}
    })
  })
  t.false(sent)
})

/** Answers without a length, and resets the connection shortly after the bytes. */
const RESETTING_SERVER = `
  const { createServer } = require('node:net')
  const { parentPort } = require('node:worker_threads')
  const server = createServer((socket) => socket.once('data', () => {
    socket.write('HTTP/1.1 200 OK\\r\\nconnection: close\\r\\n\\r\\nabc')
    setTimeout(() => socket.resetAndDestroy(), 50)
  }))
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
`

test('a reset that is read together with the bytes before it does not complete the answer', async (t) => {
  const worker = new Worker(RESETTING_SERVER, { eval: true })
  t.teardown(async () => { await worker.terminate() })
  const [port] = await once(worker, 'message') as [number]
  const end = await new Promise<string>((resolve) => {
    const call: ServerCall = new ServerCall({ address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), connectTimeout: CONNECT_TIMEOUT }, {
      onHead: () => {}, onData: () => {}, onEnd: () => resolve('ended'), onFailure: () => resolve('broke'), onOversize: () => {}
    })
    // Blocks this thread, once the request is written, until both the bytes and the reset have arrived.
    const poll = setInterval(() => {
      if (!call.mayBeSent) return
      clearInterval(poll)
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 200)
    }, 1)
  })
  t.is(end, 'broke')
})
