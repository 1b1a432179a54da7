/** Helpers of the membership tests: a fleet of services in one process, and polling. */
import { setTimeout as delay } from 'node:timers/promises'

import type { FailureDomain, NodeId } from '@bluebellhill/domain'

import { MembershipService } from '../src/index.js'

interface FleetOptions {
  readonly secrets?: readonly string[]
  readonly seeds?: readonly string[]
  readonly name?: string
  readonly startedAt?: number
  readonly firstIndex?: number
  readonly domains?: number
}

/** Starts services in this process; the others join through the first, unless `seeds` are given. */
export const startFleet = async (size: number, options: FleetOptions = {}): Promise<MembershipService[]> => {
  const { secrets = ['secret'], name = 'n', startedAt = 1_000, firstIndex = 0, domains = 3 } = options
  const services: MembershipService[] = []
  const seeds = [...options.seeds ?? []]
  for (let index = firstIndex; index < firstIndex + size; index += 1) {
    const service = new MembershipService({
      node: `${name}${index}` as NodeId,
      failureDomain: `fd${index % domains}` as FailureDomain,
      peerAddress: `127.0.0.1:${index + 1}`,
      host: '127.0.0.1',
      port: 0,
      seeds,
      secrets,
      clock: () => performance.now(),
      startedAt,
      seed: index + 1
    })
    const address = await service.start()
    if (seeds.length === 0) seeds.push(address)
    services.push(service)
  }
  return services
}

/** Polls until the condition is true; throws after the time limit. */
export const until = async (condition: () => boolean, limit = 30_000): Promise<void> => {
  const end = performance.now() + limit
  while (!condition()) {
    if (performance.now() > end) throw new Error(`the condition was not met within ${limit} ms`)
    await delay(20)
  }
}
