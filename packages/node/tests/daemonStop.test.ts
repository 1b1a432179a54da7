/** What callers get of a node of our own interface that stops. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { FailureDomain, RunnerId } from '@bluebellhill/domain'
import { BackendKind } from '@bluebellhill/services'

import type { Daemon } from '../src/index.js'
import { API_KEY, startNode } from './fuzzDaemon.js'

/** More than the operating system buffers for a connection on loopback. */
const ANSWER_BYTES = 24 * 1024 * 1024

const startService = async (t: ExecutionContext): Promise<string> => {
  const server = createServer((request, response) => {
    request.resume()
    response.end(Buffer.alloc(ANSWER_BYTES, 'a'))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

const startDaemon = async (t: ExecutionContext): Promise<Daemon> => {
  const runner = { id: 'o1' as RunnerId, address: await startService(t), failureDomain: 'sohar' as FailureDomain, kind: BackendKind.Plain, service: 'orders', leaving: false }
  const daemon = await startNode({ runners: [runner], bodyLimits: { bytes: 2 * ANSWER_BYTES, timeout: 5_000 } })
  t.teardown(async () => { await daemon.stop() })
  return daemon
}

const openCall = async (t: ExecutionContext, { addresses }: Daemon, length: number): Promise<Socket> => {
  const [host, port] = addresses.caller.split(':')
  const socket = connect(Number(port), host)
  t.teardown(() => { socket.destroy() })
  await once(socket, 'connect')
  socket.write(`POST /services/orders/x HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${API_KEY}\r\ncontent-length: ${length}\r\nconnection: close\r\n\r\n`)
  return socket
}

// Guards against answers that are cut off by a planned stop while their callers still read them.
test('an answer that its caller still reads when the node stops is complete', async (t) => {
  const daemon = await startDaemon(t)
  await sleep(1_000)
  const socket = await openCall(t, daemon, 0)
  await once(socket, 'readable')
  const stopped = daemon.stop()
  await sleep(500)
  let bytes = 0
  let head = ''
  socket.on('error', () => {})
  socket.on('data', (chunk: Buffer) => {
    if (bytes === 0) head = String(chunk.subarray(0, 15))
    bytes += chunk.length
  })
  await once(socket, 'close')
  t.is(head, 'HTTP/1.1 200 OK')
  t.true(bytes > ANSWER_BYTES, `${bytes} bytes`)
  await stopped
})

// Guards against a request that ends without an answer because it is still being read when its node stops.
test('a request that is still being read when the node stops is told so', async (t) => {
  const daemon = await startDaemon(t)
  const socket = await openCall(t, daemon, 4)
  let received = ''
  socket.on('error', () => {})
  socket.on('data', (chunk: Buffer) => { received += String(chunk) })
  const closed = once(socket, 'close')
  socket.write('bo')
  await sleep(200)
  const stopped = daemon.stop()
  await sleep(300)
  socket.write('dy')
  await closed
  t.regex(received, /^HTTP\/1\.1 503 .*stopping/s)
  await stopped
})
