/** Finds problems in the status reports of all nodes, such as unreachable members and differing configurations. */
import { MemberState, NodeState, RunnerState } from '@bluebellhill/protocol'
import type { RunnersReply, StatusReply } from '@bluebellhill/protocol'

import { formatTime, plural } from '../terminal/index.js'

const compareText = (left: string, right: string): number => left < right ? -1 : Number(left > right)

const groupBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string): Array<[string, Item[]]> => {
  const groups = new Map<string, Item[]>()
  for (const item of items) groups.set(keyOf(item), [...groups.get(keyOf(item)) ?? [], item])
  return [...groups].sort(([left], [right]) => compareText(left, right))
}

const nodeStateFindings = (nodes: readonly StatusReply[]): string[] => nodes
  .filter((status) => status.state !== NodeState.Ready)
  .map((status) => `${status.node} is ${status.state}, with ${plural(status.requestsInProgress, 'request')} in progress`)

const memberFindings = (nodes: readonly StatusReply[]): string[] => {
  const views = nodes.flatMap((status) => status.members.map((member) => ({ observer: status.node, ...member })))
  return groupBy(views.filter((view) => view.state !== MemberState.Alive), (view) => `${view.node} ${view.state}`)
    .map(([, group]) => `${group[0]!.node} (${group[0]!.failureDomain}) is ${group[0]!.state} for ${group.map((view) => view.observer).join(', ')}`)
}

const platformFindings = (nodes: readonly StatusReply[]): string[] => {
  const views = nodes.flatMap((status) => status.platform.map((service) => ({ observer: status.node, ...service })))
  return groupBy(views.filter((view) => !view.available), (view) => view.service).map(([service, group]) => {
    const since = Math.min(...group.map((view) => view.since))
    return `the ${service} does not answer ${group.map((view) => view.observer).join(', ')} since ${formatTime(since)} UTC`
  })
}

const configurationFindings = (nodes: readonly StatusReply[]): string[] => {
  const views = nodes.flatMap((status) => status.configurations.map((value) => ({ observer: status.node, ...value })))
  return groupBy(views, (view) => view.organisation ?? '').flatMap(([organisation, group]) => {
    const revisions = groupBy(group, (view) => view.revision)
    if (revisions.length < 2) return []
    const parts = revisions.map(([revision, observers]) => `${revision} on ${observers.map((view) => view.observer).join(', ')}`)
    return [`the configuration of ${organisation === '' ? 'the fleet' : organisation} differs: revision ${parts.join('; ')}`]
  })
}

const clockFindings = (nodes: readonly StatusReply[]): string[] => nodes
  .filter((status) => status.distrustedStamps > 0)
  .map((status) => `${status.node} met ${plural(status.distrustedStamps, 'stamp')} of peers whose clock is far ahead; the time line names them as clock_distrusted`)

/**
 * Finds runners that are not ready.
 *
 * @param replies - replies with the runners of each dispatcher
 * @returns one sentence for each such runner
 */
export const runnerFindingsOf = (replies: readonly RunnersReply[]): string[] => replies
  .flatMap((reply) => reply.runners.map((runner) => ({ dispatcher: reply.node, ...runner })))
  .filter((runner) => runner.state !== RunnerState.Ready)
  .sort((left, right) => compareText(left.runner, right.runner))
  .map((runner) => `runner ${runner.runner} (${runner.failureDomain}) is ${runner.state}, says its dispatcher ${runner.dispatcher}`)

/**
 * Finds problems that an operator should examine.
 *
 * @param nodes - the status of each node that answered
 * @returns one sentence for each problem
 */
export const findingsOf = (nodes: readonly StatusReply[]): string[] => {
  const ordered = [...nodes].sort((left, right) => compareText(left.node, right.node))
  return [nodeStateFindings, memberFindings, platformFindings, configurationFindings, clockFindings].flatMap((find) => find(ordered))
}
