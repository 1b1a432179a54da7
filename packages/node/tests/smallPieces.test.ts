/** Answers to other callers while servers send tiny pieces without end, as fast as they are read. */
import { spawn } from 'node:child_process'
import { once, setMaxListeners } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'
import type { Millis } from '@bluebellhill/domain'

import { ForwardFixture } from './forwardFixture.js'
import { signedHead, startRawServer } from './rawServer.js'

/** Servers in processes of their own, which answer each request with a first part, and then with pieces of a few bytes. */
const FLOODING_SERVER = `
  const [first, piece] = process.argv.slice(1)
  require('node:net').createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', (bytes) => {
      const id = /^${HeaderName.AttemptId}: (.*)\\r$/im.exec(bytes.toString())[1]
      socket.write('HTTP/1.1 200 OK\\r\\n${HeaderName.AttemptId}: ' + id + '\\r\\n${HeaderName.Signature}: s\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n' + first)
      const block = Buffer.from(piece.repeat(Math.ceil(65536 / piece.length)))
      const write = () => { while (!socket.destroyed) if (!socket.write(block)) return socket.once('drain', write) }
      write()
    })
  }).listen(0, '127.0.0.1', function () { console.log(this.address().port) })
`

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`

const PIECES: ReadonlyArray<readonly [name: string, path: string, first: string, piece: string]> = [
  ['events without an id', '/stream/x', '', chunk('data: x\n\n')],
  ['blank lines', '/stream/x', chunk('id: 1\ndata: x\n\n'), chunk('\n')],
  ['bytes of a body', '/patient/x', '', chunk('x')],
  ['trailer lines', '/patient/x', '1\r\nx\r\n0\r\n', 'x-more: y\r\n']
]

const FLOODED_REQUESTS = 16
const SOUND_REQUESTS = 10

/** A caller of the users' platform gives up a node that has not read its request after a second; ten times that for all of them. */
const MAX_TIME: Millis = 10_000

const startFlood = async (t: ExecutionContext, first: string, piece: string): Promise<number> => {
  const child = spawn(process.execPath, ['-e', FLOODING_SERVER, first, piece], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(() => { child.kill() })
  const [line] = await once(child.stdout, 'data') as [Buffer]
  return Number(line.toString())
}

for (const [name, path, first, piece] of PIECES) {
  // Guards against one faulty server that takes the processor's time of all callers of a node: limits by bytes do not bound the work for tiny pieces.
  test.serial(`others are answered while servers send ${name} without end, each in a piece of its own`, async (t) => {
    const faulty = await startFlood(t, first, piece)
    const flooded = await ForwardFixture.startWithPorts(t, Array.from({ length: FLOODED_REQUESTS }, () => faulty))
    const sound = await ForwardFixture.startWithPorts(t, [await startRawServer(t, (socket, request) => { socket.end(`${signedHead(request, 'content-length: 6\r\n')}answer`) })])
    const given = new AbortController()
    setMaxListeners(FLOODED_REQUESTS, given.signal)
    const open = Array.from({ length: FLOODED_REQUESTS }, async () => await flooded.call(path, { disconnection: given.signal }).catch(() => null))
    await sleep(500)
    const floodedAtStart = flooded.entry.openRequests
    const startedAt = performance.now()
    for (let index = 0; index < SOUND_REQUESTS; index += 1) t.like(await sound.call('/safe/x'), { status: 200, body: 'answer' })
    const took = performance.now() - startedAt
    t.log(`${SOUND_REQUESTS} requests in ${Math.round(took)} ms, ${floodedAtStart} flooded ones open`)
    t.true(took < MAX_TIME, `${Math.round(took)} ms`)
    given.abort()
    await Promise.all(open)
  })
}
