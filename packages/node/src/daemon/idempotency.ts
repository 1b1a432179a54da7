/** Starts the service that claims idempotency keys for this node's requests. */
import { randomInt } from 'node:crypto'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { assertNever } from '@bluebellhill/domain'
import type { KeyValueService } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import { IdempotencyService } from '../idempotency/index.js'
import type { IdempotencyReport } from '../idempotency/index.js'
import type { FleetComponents } from './fleet.js'
import type { BaseComponents } from './baseComponents.js'

const MAX_SEED = 0x7fffffff
const SHARE_INTERVAL_MS = 1_000

/**
 * Starts the service that claims keys in the key-value service.
 *
 * @param base - components that do not depend on the fleet
 * @param fleet - the node's view of the fleet; the write limit is divided by its number of live nodes
 * @param keyValue - the platform's key-value service
 */
export const startIdempotency = (base: BaseComponents, fleet: FleetComponents, keyValue: KeyValueService): IdempotencyService => {
  const { options, store } = base
  const service = store.add(new IdempotencyService({
    node: options.node,
    keyValue,
    rng: xoroshiro128plus(randomInt(MAX_SEED)),
    retention: options.keyRetention,
    clock: monotonicNow,
    wallClock: () => Date.now(),
    report: (report) => logReport(base, report)
  }))
  const updateWriteShare = (): void => service.setWriteShare(options.storeWrites, fleet.membership.membersAcceptingWork().length)
  const timer = setInterval(updateWriteShare, SHARE_INTERVAL_MS)
  store.addCleanup(() => clearInterval(timer))
  updateWriteShare()
  return service
}

const logReport = ({ options }: BaseComponents, report: IdempotencyReport): void => {
  switch (report.type) {
    case 'claim_missing': return options.log.error('key_claim_missing', { key: report.key })
    case 'claim_taken': return options.log.error('key_claim_taken', { key: report.key, owner: report.owner })
    case 'store': return options.log.warn('key_store_changed', { available: report.available, reason: report.reason })
    default: return assertNever(report)
  }
}
