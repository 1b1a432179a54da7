import { once } from 'node:events'
import { connect } from 'node:net'

import test from 'ava'

import { API_KEY, startNode } from './fuzzDaemon.js'

const LONG_BODY = Buffer.alloc(8 * 1_048_576, 'x')

/** Idle time after which the connection is closed and the test fails, in milliseconds. */
const WAIT_LIMIT = 20_000

test('a caller whose body is refused can finish sending it, read the answer and reuse the connection', async (t) => {
  const node = await startNode()
  t.teardown(() => node.stop())
  const [host, port] = node.addresses.caller.split(':')
  const socket = connect(Number(port), host)
  socket.setTimeout(WAIT_LIMIT, () => socket.destroy(new Error('no answer in time')))
  t.teardown(() => { socket.destroy() })
  let received = ''
  socket.on('data', (chunk) => { received += String(chunk) })
  socket.write(`POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer ${API_KEY}\r\ncontent-length: ${LONG_BODY.length}\r\n\r\n`)
  while (!received.includes('"too_large"')) await once(socket, 'data')
  t.regex(received, /^HTTP\/1\.1 413 /)
  await new Promise<void>((resolve, reject) => socket.write(LONG_BODY, (error) => error == null ? resolve() : reject(error)))
  received = ''
  socket.write('GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n')
  while (!received.includes('alive')) await once(socket, 'data')
  t.regex(received, /^HTTP\/1\.1 200 /)
})
