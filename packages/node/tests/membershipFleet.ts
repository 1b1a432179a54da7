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

/** Starts services in this process; the first is the seed of the others. */
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

/** Polls until the condition holds; a generous limit ends a test that would never pass. */
export const until = async (condition: () => boolean, limit = 30_000): Promise<void> => {
  const end = performance.now() + limit
  while (!condition()) {
    if (performance.now() > end) throw new Error(`condition did not hold within ${limit} ms`)
    await delay(20)
  }
}
