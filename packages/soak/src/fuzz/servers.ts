/** Backend servers of a fuzzing run: sound ones, and ones whose answers are written byte by byte. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import type { Server as TcpServer, Socket } from 'node:net'

import { HeaderName } from '@bluebellhill/platform'

/** What servers have in common. */
interface RunningServer {
  /** `ip:port` */
  readonly address: string
  dispose: () => void
}

/** Server that answers every request as it should, under an id that can be changed. */
export interface SoundServer extends RunningServer {
  id: string
}

/**
 * @param host - address to listen at
 * @param port - port to listen at
 * @returns the running server
 */
export const startSoundServer = async (host: string, port: number): Promise<SoundServer> => {
  const server = createServer({ maxHeaderSize: 1_000_000 }, (request, response) => {
    request.resume().once('end', () => {
      const expected = request.headers[HeaderName.ExpectedServer]
      const headers = { [HeaderName.AttemptId]: String(request.headers[HeaderName.AttemptId]), [HeaderName.ServerId]: sound.id, [HeaderName.Signature]: 'signature' }
      const isOther = expected !== undefined && expected !== sound.id
      response.writeHead(isOther ? 421 : 200, { ...headers, ...(isOther ? { [HeaderName.NotRun]: '1' } : {}), 'content-length': 2 }).end('ok')
    })
  })
  const sound: SoundServer = {
    id: '',
    address: `${host}:${port}`,
    dispose: () => {
      server.close()
      server.closeAllConnections()
    }
  }
  server.listen(port, host)
  await once(server, 'listening')
  return sound
}

/** Bytes of an answer; null to close the connection. */
export type RawAnswer = ReadonlyArray<string | Buffer | null>

/** Server that answers a request with any bytes. */
export interface RawServer extends RunningServer {
  /** Answers that were begun. */
  answered: number
}

const HEAD_END = '\r\n\r\n'

/** Time between the pieces of an answer, in milliseconds. */
const PIECE_PERIOD_MS = 1

/**
 * @param host - address to listen at
 * @param port - port to listen at
 * @param answer - returns the pieces of the answer to a request with this head
 * @returns the running server
 */
export const startRawServer = async (host: string, port: number, answer: (head: string) => RawAnswer): Promise<RawServer> => {
  const sockets = new Set<Socket>()
  const server: TcpServer = createTcpServer((socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    let head = ''
    socket.on('data', (bytes) => {
      head += bytes.toString('latin1')
      if (!head.includes(HEAD_END)) return
      const pieces = answer(head)
      head = ''
      raw.answered += 1
      void write(socket, pieces)
    })
  })
  const raw: RawServer = {
    address: `${host}:${port}`,
    answered: 0,
    dispose: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
  server.listen(port, host)
  await once(server, 'listening')
  return raw
}

const write = async (socket: Socket, pieces: RawAnswer): Promise<void> => {
  for (const piece of pieces) {
    if (socket.destroyed) return
    if (piece === null) {
      socket.destroySoon()
      return
    }
    if (!socket.write(piece)) await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(() => {})
    await new Promise((resolve) => setTimeout(resolve, PIECE_PERIOD_MS))
  }
}
