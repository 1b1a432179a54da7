/** Divides the fleet into groups of failure domains; one scheduler at a time keeps the assignments on the engines of a group. */
import type { FailureDomain } from '../types.js'
import type { BackendServer } from './types.js'

/** Largest number of engines that one scheduler places requests on; with more, each failure domain has a scheduler of its own. */
export const MAX_GROUP_ENGINES = 96

/** A group of failure domains. */
export interface SchedulerGroup {
  /** Failure domain of the group; null if the group is the whole fleet. */
  readonly domain: FailureDomain | null
}

/** Part of a backend server's request limit that the schedulers of the other groups share; its own group has the rest. */
const OTHER_GROUPS_SHARE = 0.25

const WHOLE_FLEET: SchedulerGroup = { domain: null }

/**
 * @param engines - all engines of the fleet
 * @param domain - failure domain of the node that asks
 * @returns the group of that node
 */
export const groupOf = (engines: readonly BackendServer[], domain: FailureDomain): SchedulerGroup => {
  const isDivided = engines.length > MAX_GROUP_ENGINES && engines.some(({ failureDomain }) => failureDomain === domain)
  return isDivided ? { domain } : WHOLE_FLEET
}

/**
 * @param group - a group
 * @param domain - a failure domain
 * @returns whether the group contains the failure domain
 */
export const isInGroup = (group: SchedulerGroup, domain: FailureDomain): boolean => group.domain === null || group.domain === domain

/**
 * @param group - group of a scheduler
 * @param domain - failure domain of a backend server
 * @param groupCount - number of groups
 * @returns part of the server's request limit that the scheduler may use, so that all schedulers together keep to the limit
 */
export const requestLimitShare = (group: SchedulerGroup, domain: FailureDomain, groupCount: number): number => {
  if (group.domain === null || groupCount < 2) return 1
  return isInGroup(group, domain) ? 1 - OTHER_GROUPS_SHARE : OTHER_GROUPS_SHARE / (groupCount - 1)
}
