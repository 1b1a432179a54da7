/** Converts checked settings to the options of the daemon. */
import { assertNever, LeastReportedLoad, LengthAware, RoundRobin } from '@bluebellhill/domain'
import type { FailureDomain, NodeId, RoutingPolicy, RunnerId } from '@bluebellhill/domain'
import { PolicyName } from '@bluebellhill/services'
import type { Configuration, Settings } from '@bluebellhill/services'

import type { Backend } from '../dispatch/RunnerDirectory.js'
import type { Log } from '../log/index.js'
import type { DaemonOptions } from './types.js'

/** Weight of long prompts if both weights in the settings are 0. */
const EVEN_WEIGHT = 0.5

/**
 * Converts settings to daemon options.
 *
 * @param settings - checked settings
 * @param fixedConfiguration - configuration from files; null if it comes from the key-value service
 * @param log - the node's log
 */
export const toDaemonOptions = (settings: Settings, fixedConfiguration: Configuration | null, log: Log): DaemonOptions => ({
  node: settings.name as NodeId,
  failureDomain: settings.failureDomain as FailureDomain,
  listen: settings.listen,
  seeds: settings.seeds,
  secrets: settings.secrets.peer,
  adminSecrets: settings.secrets.admin === undefined ? [] : [settings.secrets.admin],
  runners: settings.runners.map(backendOf),
  vmList: settings.platform.vmList,
  policy: policyOf(settings.policy),
  enginesCheckFencing: settings.engines.checkFencing,
  bodyLimits: { bytes: settings.limits.bodyBytes, timeout: settings.limits.bodyTimeout },
  admission: { requests: settings.limits.requests, longestDeadline: settings.limits.longestDeadline },
  serviceSlots: settings.limits.serviceSlots,
  drainGrace: settings.limits.drainGrace,
  keyValue: settings.platform.keyValue,
  keyRetention: settings.limits.keyRetention,
  storeWrites: settings.limits.storeWrites,
  fixedConfiguration,
  log
})

const backendOf = (runner: Settings['runners'][number]): Backend => ({
  id: runner.name as RunnerId,
  address: runner.address,
  failureDomain: runner.failureDomain as FailureDomain,
  kind: runner.kind,
  service: runner.service ?? null,
  leaving: false
})

const longWeightOf = ({ shortSlowdown, firstToken }: Settings['policy']['weights']): number => {
  const sum = shortSlowdown + firstToken
  return sum === 0 ? EVEN_WEIGHT : firstToken / sum
}

const policyOf = (policy: Settings['policy']): RoutingPolicy => {
  switch (policy.name) {
    case PolicyName.RoundRobin: return new RoundRobin()
    case PolicyName.LeastReportedLoad: return new LeastReportedLoad()
    case PolicyName.LengthAware: return new LengthAware({ longWeight: longWeightOf(policy.weights) })
    default: return assertNever(policy.name)
  }
}
