/** Provides the operators' configuration at this node: from the key-value service, from peers, or from files. */
import { randomInt } from 'node:crypto'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { assertNever } from '@bluebellhill/domain'
import type { ConfigurationValue, ValueSource } from '@bluebellhill/domain'
import { ConfigurationStore } from '@bluebellhill/services'
import type { Configuration, KeyValueService } from '@bluebellhill/services'
import { EventKind } from '@bluebellhill/protocol'

import { ConfigurationService } from '../configuration/index.js'
import type { ConfigurationReport } from '../configuration/index.js'
import { GrpcConfigurationPeers } from '../peers/GrpcConfigurationPeers.js'
import type { FleetComponents } from './fleet.js'
import type { BaseComponents } from './baseComponents.js'

const MAX_SEED = 0x7fffffff
const KEY_VALUE_SERVICE = 'key-value service'

/** Source from which the components of the node read the configuration in force. */
export interface ConfigurationSource {
  readonly service: ConfigurationService
  /** Returns the configuration in force; null before there is one. A configuration from files takes precedence. */
  readonly current: () => Configuration | null
}

/**
 * Starts the service that keeps the configuration up to date. Returns at once: the first configuration is fetched in the
 * background, also while the key-value service or the peers do not answer.
 *
 * @param base - components that do not depend on the fleet
 * @param fleet - the node's view of the fleet
 * @param keyValue - the platform's key-value service; null in a setup without one
 */
export const startConfiguration = (base: BaseComponents, fleet: FleetComponents, keyValue: KeyValueService | null): ConfigurationSource => {
  const { options, store, peers, timeLine } = base
  const service = store.add(new ConfigurationService({
    node: options.node,
    failureDomain: options.failureDomain,
    store: keyValue === null ? null : new ConfigurationStore(keyValue),
    peers: new GrpcConfigurationPeers(fleet.membership, peers, timeLine),
    rng: xoroshiro128plus(randomInt(MAX_SEED)),
    wallClock: () => Date.now(),
    report: (report) => recordReport(base, report)
  }))
  // start() rejects if the node is stopped before it has received its first configuration
  service.start().catch((error: unknown) => options.log.warn('configuration_start_ended', { error }))
  return { service, current: () => options.fixedConfiguration ?? service.current }
}

const recordReport = (base: BaseComponents, report: ConfigurationReport): void => {
  const { timeLine, options } = base
  switch (report.type) {
    case 'installed': return recordInstalled(base, report.value, report.source)
    case 'unusable': return options.log.warn('configuration_unusable', { name: report.name, revision: report.revision, reason: report.reason })
    case 'overwritten': return options.log.warn('configuration_overwritten', { name: report.value.name, by: report.value.author, overwritten: report.overwritten.author })
    case 'written_back': return options.log.warn('configuration_written_back', { name: report.value.name, revision: report.value.revision, result: JSON.stringify(report.result) })
    case 'store': {
      timeLine.record(EventKind.PlatformChanged, {}, report.reason, { service: KEY_VALUE_SERVICE, available: report.available })
      base.platform.set(KEY_VALUE_SERVICE, { service: KEY_VALUE_SERVICE, available: report.available, since: Date.now() })
      return
    }
    default: return assertNever(report)
  }
}

const recordInstalled = ({ timeLine }: BaseComponents, value: ConfigurationValue, source: ValueSource): void => {
  const previous = value.history[0]
  timeLine.record(EventKind.ConfigurationInstalled, {}, `${value.name} by ${value.author}`, {
    revision: String(value.revision),
    previous: previous === undefined ? null : String(previous.revision),
    source: source.type === 'peer' ? source.node : KEY_VALUE_SERVICE
  })
}
