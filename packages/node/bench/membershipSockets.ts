/** Benchmark of membership over real sockets: `node dist/bench/membershipSockets.js [--processes 15] [--each 10] [--seconds 20] [--json FILE]`. */
import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { writeFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'

import type { WorkerFigures, WorkerCommand } from './socketWorker.js'

const WORKER = fileURLToPath(new URL('./socketWorker.js', import.meta.url))
const DOMAINS = 5
const MODELS = 8
const BOUNDS = { deadOutMs: 3_000, coreShare: 0.017, memoryBytes: 128 * 1024 * 1024, bytesPerSecond: 7_000 }

const sendCommand = async <Reply>(child: ChildProcess, command: WorkerCommand): Promise<Reply> => {
  child.send(command)
  const [{ reply }] = await once(child, 'message') as [{ reply: Reply }]
  return reply
}

const sendCommandToAll = async <Reply>(children: readonly ChildProcess[], command: WorkerCommand): Promise<Reply[]> =>
  await Promise.all(children.map((child) => sendCommand<Reply>(child, command)))

const { values } = parseArgs({ options: { processes: { type: 'string', default: '15' }, each: { type: 'string', default: '10' }, seconds: { type: 'string', default: '20' }, json: { type: 'string' } } })
const nodesPerProcess = Number(values.each)
const children = Array.from({ length: Number(values.processes) }, () => fork(WORKER, { execArgv: [] }))
const nodes = children.length * nodesPerProcess

const startAll = async (): Promise<void> => {
  const seeds: string[] = []
  for (const [index, child] of children.entries()) {
    const address = await sendCommand<string>(child, { type: 'start', first: index * nodesPerProcess, count: nodesPerProcess, domains: DOMAINS, seeds })
    if (seeds.length < 3) seeds.push(address)
  }
}

const perNode = (figures: readonly WorkerFigures[]): object => {
  const sum = (pick: (figure: WorkerFigures) => number): number => figures.reduce((total, figure) => total + pick(figure), 0)
  const nodeSeconds = sum((figure) => figure.elapsedMs / 1_000) * nodesPerProcess
  return {
    coreShare: sum((figure) => figure.cpuMs) / 1_000 / nodeSeconds,
    rssBytesAProcess: Math.round(sum((figure) => figure.rssBytes) / figures.length),
    sentBytesPerSecond: Math.round(sum((figure) => figure.sentBytes) / nodeSeconds),
    receivedBytesPerSecond: Math.round(sum((figure) => figure.receivedBytes) / nodeSeconds),
    refusedDatagrams: sum((figure) => figure.refused)
  }
}

const measure = async (): Promise<object> => {
  await sendCommandToAll(children, { type: 'reset' })
  await delay(Number(values.seconds) * 1_000)
  return perNode(await sendCommandToAll<WorkerFigures>(children, { type: 'figures' }))
}

// Killing a process removes one or more members of each failure domain at once.
const killProcess = async (): Promise<number> => {
  const victim = children.pop() as ChildProcess
  const start = Date.now()
  victim.kill('SIGKILL')
  const times = await sendCommandToAll<number>(children, { type: 'await_workers', count: nodes - nodesPerProcess })
  return Math.max(...times) - start
}

const suspendProcess = async (duration: number): Promise<number> => {
  const stopped = children.at(-1) as ChildProcess
  stopped.kill('SIGSTOP')
  await delay(duration)
  const start = Date.now()
  stopped.kill('SIGCONT')
  const times = await sendCommandToAll<number>(children, { type: 'await_workers', count: nodes - nodesPerProcess })
  return Math.max(...times) - start
}

const startedAt = Date.now()
await startAll()
const formed = Math.max(...await sendCommandToAll<number>(children, { type: 'await_workers', count: nodes })) - startedAt
await delay(20_000)
const quiet = await measure()
await sendCommandToAll(children, { type: 'load', models: MODELS })
await delay(5_000)
const loaded = await measure()
const deadOutMs = await killProcess()
await delay(10_000)
const backAfterStopMs = await suspendProcess(10_000)
const text = JSON.stringify({ bench: 'membershipSockets', bounds: BOUNDS, processes: Number(values.processes), nodes, formedMs: formed, quiet, loaded, deadOutMs, backAfterStopMs }, null, 2)
if (values.json !== undefined) writeFileSync(values.json, text)
console.log(text)
for (const child of children) child.kill('SIGKILL')
