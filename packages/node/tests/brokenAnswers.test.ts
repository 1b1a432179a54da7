/** Answers that break off halfway, where the framing of the receiver cannot tell or the rest is compressed. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { gzipSync } from 'node:zlib'

import test from 'ava'

import type { NodeId } from '@bluebellhill/domain'
import { HttpPool } from '@bluebellhill/services'

import { FleetState } from '../src/forward/FleetState.js'
import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { FleetStateExchange } from '../src/forward/peers/FleetStateExchange.js'
import { headText, openCaller } from './callers.js'
import { ForwardFixture, LineCollector, signedHeaders } from './forwardFixture.js'
import { LogLevel, openLog } from '../src/log/index.js'
import { until } from './quarantineFixture.js'

// Guards against a part of a stream that passes for all of it: without chunks, its end is that of the connection.
test('a caller without chunks sees a reset when its stream breaks off', async (t) => {
  let server: Socket | null = null
  const fixture = await ForwardFixture.start(t, (request, response, socket) => {
    server = socket
    response.writeHead(200, signedHeaders(request)).write('id: 1\ndata: x\n\n')
  })
  const { socket, received } = await openCaller(t, fixture)
  let error = ''
  socket.on('error', ({ message }) => { error = message })
  // Only the end of the answer closes the connection from this side.
  socket.on('end', () => socket.end())
  socket.write(headText('/once/x', 'content-length: 0').replace('HTTP/1.1', 'HTTP/1.0'))
  while (!received().includes('data: x')) await once(socket, 'data')
  server!.destroy()
  await new Promise((resolve) => { socket.once('close', resolve) })
  t.regex(error, /ECONNRESET/)
})

// Guards against the end of the process by an error that nothing handles.
test('a compressed fleet state that is cut off, or damaged, counts as a failed call', async (t) => {
  const whole = gzipSync('{"configuration":null}')
  const server = createServer((_, response) => { response.end(whole.subarray(0, whole.length - 6)) }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const lines: string[] = []
  const log = openLog({ node: 'n', failureDomain: 'd', level: LogLevel.Info, transport: new LineCollector(lines) })
  const http = new HttpPool(1)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const peer = { node: 'n2' as NodeId, address, failureDomain: 'd1', configurationVersion: 1, serversRevision: 1 }
  const exchange = new FleetStateExchange({
    fleetState: new FleetState(log, () => 0), http, log, metrics: new ForwardMetrics(), clock: () => 0, failureDomain: 'd1', peers: () => [peer], onRelayed: () => {}
  })
  t.teardown(async () => {
    exchange.dispose()
    await http.dispose()
    server.close()
  })
  exchange.catchUp()
  await until(() => lines.some((line) => line.includes('peers.catch_up_failed')))
  t.regex(lines.join(), /peers\.catch_up_failed.*unexpected end of file/)
})
