import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { BackendStandin } from '@bluebellhill/platform-standin'

import { Fleet } from '../src/Fleet.js'
import type { Server } from '../src/Fleet.js'
import { TcpProxy } from '../src/TcpProxy.js'

const HOST = '127.0.0.1'
const PORT = 8_129
const CRASHING_PART = { part: 'dead', oneIn: 4, position: 0, keepsId: true, downMs: 0 }

/** A fleet and one server of it, which listens on loopback. */
const startServer = async (t: ExecutionContext): Promise<{ fleet: Fleet, server: Server, standin: BackendStandin }> => {
  const fleet = new Fleet(`127.48.${process.pid % 200}`, 'out/soak/fleet', 'none')
  const proxy = new TcpProxy(HOST, PORT)
  await proxy.start(HOST, 0)
  const server: Server = { index: 0, service: 'lm', failureDomain: 'hall-a', proxy, standin: null, startedAt: 0, drainingSince: null }
  await fleet.startServer(server)
  const { standin } = server
  if (standin === null) throw new Error('the server does not run')
  t.teardown(async () => {
    proxy.dispose()
    await server.standin?.dispose()
  })
  return { fleet, server, standin }
}

/** Ends the server as a part of a prompt does, and waits until it is back. */
const crashByPart = async (fleet: Fleet, server: Server, standin: BackendStandin): Promise<void> => {
  fleet.promptParts.startCrashing(CRASHING_PART)
  await standin.dispose()
  standin.onCrash()
  while (server.standin === null) await sleep(5)
}

// Guards against 'limits of servers' at a server that a part of a prompt had ended: it was back under the same id and stated no limit.
for (const [name, end] of [['a crash by a part', crashByPart], ['a crash', async (fleet, server) => { await fleet.crashServer(server, 0) }]] as Array<[string, typeof crashByPart]>) {
  test.serial(`the limit of a server process ends with the process: ${name}`, async (t) => {
    const { fleet, server, standin } = await startServer(t)
    t.is(fleet.limitServer(server, 1.4), standin)
    const [span] = fleet.limitedSpans
    t.is(span?.until, Infinity)
    await end(fleet, server, standin)
    const until = span?.until ?? Infinity
    t.true(until <= performance.now())
    fleet.endLimit(standin)
    t.is(span?.until, until)
  })
}

// Guards against a run that does not end: a server that was starting while the fleet was disposed of kept its socket open.
test.serial('a server that is starting while the fleet is disposed of does not run afterwards', async (t) => {
  const { fleet, server, standin } = await startServer(t)
  await standin.dispose()
  server.standin = null
  const start = fleet.startServer(server)
  await fleet.dispose()
  await start
  t.is(server.standin, null)
})
