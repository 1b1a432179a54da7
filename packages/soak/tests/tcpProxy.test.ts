import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { LinkMode, TcpProxy } from '../src/TcpProxy.js'

const HOST = '127.0.0.1'
const PROXY_HOST = '127.0.0.9'

/** A server behind a proxy on the same port of another address. */
const behindProxy = async (t: ExecutionContext, serve: (socket: Socket) => void): Promise<{ proxy: TcpProxy, port: number }> => {
  const server = createServer((socket) => serve(socket.on('error', () => {})))
  server.listen(0, HOST)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const proxy = new TcpProxy(HOST, port)
  await proxy.start(PROXY_HOST, port)
  t.teardown(() => {
    proxy.dispose()
    server.close()
  })
  return { proxy, port }
}

const echo = (socket: Socket): void => { socket.pipe(socket) }

const open = (port: number): { socket: ReturnType<typeof connect>, text: () => string } => {
  let text = ''
  const socket = connect({ host: PROXY_HOST, port, noDelay: true }).on('error', () => {})
  socket.on('data', (piece) => { text += String(piece) })
  return { socket, text: () => text }
}

const eventually = async (condition: () => boolean): Promise<boolean> => {
  const until = performance.now() + 10_000
  while (!condition() && performance.now() < until) await sleep(5)
  return condition()
}

test('pieces keep their order when a delay begins and ends', async (t) => {
  const { proxy, port } = await behindProxy(t, echo)
  const { socket, text } = open(port)
  for (let index = 0; index < 40; index += 1) {
    if (index % 5 === 0) proxy.setMode(index % 10 === 0 ? LinkMode.Delayed : LinkMode.Open)
    socket.write(`${index},`)
    await sleep(7)
  }
  const expected = Array.from({ length: 40 }, (_, index) => `${index},`).join('')
  t.true(await eventually(() => text() === expected), text())
})

test('a silent link passes nothing and ends nothing, and is reset when it is mended', async (t) => {
  const { proxy, port } = await behindProxy(t, echo)
  const { socket, text } = open(port)
  socket.write('a')
  t.true(await eventually(() => text() === 'a'))
  proxy.setMode(LinkMode.Silent)
  socket.write('b')
  await sleep(100)
  t.is(text(), 'a')
  t.false(socket.destroyed)
  proxy.setMode(LinkMode.Open)
  t.true(await eventually(() => socket.destroyed))
})

test('a one-way link passes requests and holds answers back', async (t) => {
  const received: string[] = []
  const { proxy, port } = await behindProxy(t, (socket) => socket.on('data', (piece) => {
    received.push(String(piece))
    socket.write('answer')
  }))
  proxy.setMode(LinkMode.OneWay)
  const { socket, text } = open(port)
  socket.write('request')
  t.true(await eventually(() => received.join('') === 'request'))
  await sleep(50)
  t.is(text(), '')
})

/** Connects, sends a request, and returns the port that the server sees. */
const exchangeBytes = async (t: ExecutionContext, mode: LinkMode): Promise<{ proxy: TcpProxy, socket: Socket, text: () => string, seenPort: () => number, answer: () => void }> => {
  let accepted: Socket | null = null
  const { proxy, port } = await behindProxy(t, (socket) => { socket.once('data', () => { accepted = socket }) })
  proxy.setMode(mode)
  const { socket, text } = open(port)
  socket.write('request')
  t.true(await eventually(() => accepted !== null))
  return { proxy, socket, text, seenPort: () => accepted?.remotePort ?? 0, answer: () => { accepted?.write('answer') } }
}

test('an answer is delivered when it has been forwarded', async (t) => {
  for (const mode of [LinkMode.Open, LinkMode.Delayed]) {
    const { proxy, text, seenPort, answer } = await exchangeBytes(t, mode)
    const requestedAt = performance.now()
    t.is(proxy.deliveredAfter(seenPort(), requestedAt), null)
    answer()
    t.true(await eventually(() => text() === 'answer'))
    t.true(await eventually(() => (proxy.deliveredAfter(seenPort(), requestedAt) ?? 0) >= requestedAt))
    t.is(proxy.deliveredAfter(seenPort() + 1, requestedAt), null)
    t.is(proxy.deliveredAfter(seenPort(), performance.now()), null)
  }
})

test('an answer that is held back is not delivered', async (t) => {
  const { proxy, seenPort, answer } = await exchangeBytes(t, LinkMode.OneWay)
  answer()
  await sleep(50)
  t.is(proxy.deliveredAfter(seenPort(), 0), null)
})

test('an answer to a client that has closed the connection is not delivered', async (t) => {
  for (let round = 0; round < 20; round += 1) {
    const { proxy, socket, seenPort, answer } = await exchangeBytes(t, LinkMode.Open)
    const port = seenPort()
    answer()
    socket.destroy()
    await sleep(5)
    t.is(proxy.deliveredAfter(port, 0), null, `round ${round}`)
  }
})

// Guards against an answer without a length that looks complete although its server has reset the connection right after the last bytes.
test('a reset that arrives together with bytes is passed on as a reset', async (t) => {
  const { port } = await behindProxy(t, (socket) => {
    socket.once('data', () => { socket.write('half of an answer', () => { socket.resetAndDestroy() }) })
  })
  for (let round = 0; round < 20; round += 1) {
    const socket = connect({ host: PROXY_HOST, port, noDelay: true })
    let hasEnded = false
    socket.write('request')
    socket.on('error', () => {}).on('end', () => { hasEnded = socket.remoteAddress !== undefined }).resume()
    await once(socket, 'close').catch(() => {})
    t.false(hasEnded, `round ${round}`)
  }
})
