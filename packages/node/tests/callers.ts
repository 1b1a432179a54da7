/** Connections of callers on which tests write bytes of their own. */
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'

import type { ExecutionContext } from 'ava'

import type { Millis } from '@bluebellhill/domain'
import { HeaderName } from '@bluebellhill/platform'

import { HOST, KEY, signedHeaders } from './forwardFixture.js'
import type { ForwardFixture, Script } from './forwardFixture.js'

/** Longest time that a test waits for the end of a connection. */
const WAIT_LIMIT: Millis = 20_000

export const answers: Script = (request, response) => { response.writeHead(200, signedHeaders(request)).end('answer') }

export const headText = (path: string, ...headers: string[]): string =>
  [`POST ${path} HTTP/1.1`, `host: ${HOST}`, `authorization: Bearer ${KEY}`, `${HeaderName.AttemptId}: a`, ...headers, '', ''].join('\r\n')

export interface RawCaller {
  readonly socket: Socket
  readonly received: () => string
}

export const openCaller = async (t: ExecutionContext, { port }: ForwardFixture): Promise<RawCaller> => {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  socket.setTimeout(WAIT_LIMIT, () => socket.destroy(new Error('nothing in time')))
  t.teardown(() => { socket.destroy() })
  let received = ''
  socket.on('data', (chunk) => { received += String(chunk) })
  socket.on('error', () => { socket.emit('end') })
  await once(socket, 'connect')
  return { socket, received: () => received }
}
