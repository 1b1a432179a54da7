/** Child process of the `membershipSockets` benchmark: runs several membership services and executes the commands of its parent. */
import { setTimeout as delay } from 'node:timers/promises'

import { ValueScope } from '@bluebellhill/domain'
import type { FailureDomain, NodeId } from '@bluebellhill/domain'

import { MembershipService } from '../src/index.js'

/** Commands from the parent process. */
export type WorkerCommand =
  | { readonly type: 'start', readonly first: number, readonly count: number, readonly domains: number, readonly seeds: readonly string[] }
  /** Waits until each service counts the given number of workers; replies with the wall-clock time at which all do. */
  | { readonly type: 'await_workers', readonly count: number }
  | { readonly type: 'load', readonly models: number }
  | { readonly type: 'reset' }
  | { readonly type: 'figures' }

/** Cost of the membership services of this process since the last reset. */
export interface WorkerFigures {
  readonly cpuMs: number
  readonly elapsedMs: number
  readonly rssBytes: number
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly refused: number
}

const MODEL_BYTES = 20
const services: MembershipService[] = []
let cpuAtReset = process.cpuUsage()
let resetAt = performance.now()
let sentAtReset = 0
let receivedAtReset = 0

const total = (pick: (service: MembershipService) => number): number => services.reduce((sum, service) => sum + pick(service), 0)

const start = async ({ first, count, domains, seeds }: Extract<WorkerCommand, { type: 'start' }>): Promise<string> => {
  for (let index = first; index < first + count; index += 1) {
    const service = new MembershipService({
      node: `node-${index}` as NodeId,
      failureDomain: `domain-${index % domains}` as FailureDomain,
      peerAddress: `127.0.0.1:${index + 1}`,
      host: '127.0.0.1',
      port: 0,
      seeds: seeds.length > 0 ? seeds : services.slice(0, 1).map((first) => first.me().gossipAddress),
      secrets: ['bench'],
      startedAt: Date.now(),
      clock: () => performance.now(),
      seed: index + 1
    })
    await service.start()
    services.push(service)
  }
  return services[0]?.me().gossipAddress ?? ''
}

const awaitWorkers = async (count: number): Promise<number> => {
  while (services.some((service) => service.membersAcceptingWork().length !== count)) await delay(10)
  return Date.now()
}

const publishPeriodically = (models: number): void => {
  let round = 0
  setInterval(() => {
    round += 1
    for (const service of services) service.publish('summary/0', new Uint8Array(models * MODEL_BYTES).fill(round % 256), { scope: ValueScope.Subscribers })
  }, 250)
}

const reset = (): void => {
  cpuAtReset = process.cpuUsage()
  resetAt = performance.now()
  sentAtReset = total((service) => service.counters().sentBytes)
  receivedAtReset = total((service) => service.counters().receivedBytes)
}

const figures = (): WorkerFigures => {
  const { user, system } = process.cpuUsage(cpuAtReset)
  return {
    cpuMs: (user + system) / 1_000,
    elapsedMs: performance.now() - resetAt,
    rssBytes: process.memoryUsage().rss,
    sentBytes: total((service) => service.counters().sentBytes) - sentAtReset,
    receivedBytes: total((service) => service.counters().receivedBytes) - receivedAtReset,
    refused: total((service) => service.counters().unauthenticated + service.counters().malformed + service.counters().unsendable)
  }
}

const executeCommand = async (command: WorkerCommand): Promise<unknown> => {
  switch (command.type) {
    case 'start': return await start(command)
    case 'await_workers': return await awaitWorkers(command.count)
    case 'load': return publishPeriodically(command.models)
    case 'reset': return reset()
    case 'figures': return figures()
  }
}

process.on('message', (command: WorkerCommand) => {
  void executeCommand(command).then((reply) => { if (process.connected) process.send?.({ reply: reply ?? null }) })
})
process.on('disconnect', () => process.exit(0))
