/** Backend servers that send raw bytes, for tests. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'

/** Writes the answer to a request whose head has been received. */
export type RawScript = (socket: Socket, request: string) => void

/**
 * Starts a server that answers each connection with a script.
 *
 * @param t - test that stops it
 * @param script - called once the head of the request has arrived
 * @returns its port
 */
export const startRawServer = async (t: ExecutionContext, script: RawScript): Promise<number> => {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', (bytes) => script(socket, bytes.toString('latin1')))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return (server.address() as AddressInfo).port
}

/**
 * @param request - head of the request
 * @param fields - further lines of the head, each with its line end
 * @param status - status code and phrase
 * @returns the head of a signed answer to it
 */
export const signedHead = (request: string, fields = '', status = '200 OK'): string => {
  const id = new RegExp(`^${HeaderName.AttemptId}: (.*)$`, 'im').exec(request)?.[1]?.trim() ?? ''
  return `HTTP/1.1 ${status}\r\n${HeaderName.AttemptId}: ${id}\r\n${HeaderName.Signature}: signature\r\n${fields}\r\n`
}

/** Most bytes that are written to one connection; by then the limits of an answer are long exceeded. */
const FLOOD_BYTES = 256 * 1_024 * 1_024

/** Writes the same bytes again and again, as fast as they are read, until the connection is closed. */
export const flood = (socket: Socket, text: string): void => {
  const block = Buffer.from(text.repeat(Math.ceil(65_536 / text.length)))
  let written = 0
  const write = (): void => {
    while (!socket.destroyed && written < FLOOD_BYTES) {
      written += block.length
      if (!socket.write(block)) {
        socket.once('drain', write)
        return
      }
    }
  }
  write()
}
