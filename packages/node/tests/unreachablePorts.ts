/** Ports of the loopback address that no connection can be opened to, for tests. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

import type { ExecutionContext } from 'ava'

/** @returns ports that refuse connections */
export const refusingPorts = async (count: number): Promise<number[]> => {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'))
  await Promise.all(servers.map(async (server) => { await once(server, 'listening') }))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async (server) => await new Promise((resolve) => server.close(resolve))))
  return ports
}

/** Listens with the shortest queue of connections, tells its ports, and accepts none. */
const HANGING_LISTENER = `
const { createServer } = require('node:net')
const ports = []
for (let index = 0; index < COUNT; index += 1) {
  const server = createServer().listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    ports.push(server.address().port)
    if (ports.length === COUNT) process.stdout.write(ports.join(',') + '\\n', () => process.kill(process.pid, 'SIGSTOP'))
  })
}
`

/** Connections that fill the queue of a listener that accepts none. */
const QUEUE_LENGTH = 4

/** @returns ports whose connections hang: their process is stopped, and its queues are full */
export const hangingPorts = async (t: ExecutionContext, count: number): Promise<number[]> => {
  const listener = spawn(process.execPath, ['-e', HANGING_LISTENER.replaceAll('COUNT', String(count))], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [line] = await once(listener.stdout, 'data') as [Buffer]
  const ports = line.toString().trim().split(',').map(Number)
  const sockets = ports.flatMap((port) => Array.from({ length: QUEUE_LENGTH }, () => connect({ host: '127.0.0.1', port }).on('error', () => {})))
  await new Promise((resolve) => setTimeout(resolve, 50))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    listener.kill('SIGKILL')
  })
  return ports
}
