import { AdminPath, MemberState, NodeState } from '@bluebellhill/protocol'
import type { RunnersReply, StatusReply } from '@bluebellhill/protocol'

import { callNodes, defineView, findingsOf, runnerFindingsOf } from '../fleet/index.js'
import type { FleetAnswer } from '../fleet/index.js'
import { Tone, formatDuration, outputPainter, tableOf } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'status',
  description: 'Show every node and the problems found',
  examples: [
    'bluebellhill status --nodes 10.0.0.1:7401,10.0.0.2:7401',
    'bluebellhill status --watch',
    'bluebellhill status --json | jq .findings'
  ]
}

const BYTES_PER_MEGABYTE = 1_000_000

const HEADER = ['NODE', 'DOMAIN', 'STATE', 'UP', 'REQUESTS', 'QUEUED', 'MEMBERS', 'CONFIG', 'LEASES', 'MEMORY']

const rowOf = (status: StatusReply): string[] => {
  const present = status.members.filter((member) => member.state !== MemberState.Gone)
  const alive = present.filter((member) => member.state === MemberState.Alive).length
  const fleet = status.configurations.find((value) => value.organisation === null)
  const tone = status.state === NodeState.Ready ? Tone.Good : Tone.Warning
  return [
    status.node,
    status.failureDomain,
    outputPainter()(tone, status.state),
    formatDuration(status.uptime),
    String(status.requestsInProgress),
    String(status.ordersQueued),
    `${alive} of ${present.length}`,
    fleet?.revision ?? '-',
    status.leases.map((lease) => lease.lease).join(',') || '-',
    `${Math.round(status.memoryBytes / BYTES_PER_MEGABYTE)} MB`
  ]
}

const compareStatus = (left: StatusReply, right: StatusReply): number =>
  left.failureDomain.localeCompare(right.failureDomain) || left.node.localeCompare(right.node)

/** Status of all nodes, with the problems found in it. */
interface FleetStatus extends FleetAnswer<StatusReply> {
  readonly findings: readonly string[]
}

const readStatus = async (addresses: readonly string[], timeout: number): Promise<FleetStatus> => {
  const [status, runners] = await Promise.all([
    callNodes<StatusReply>(addresses, { path: AdminPath.Status, timeout }),
    callNodes<RunnersReply>(addresses, { path: AdminPath.Runners, timeout })
  ])
  const findings = [
    ...findingsOf(status.answers.map(({ reply }) => reply)),
    ...runnerFindingsOf(runners.answers.map(({ reply }) => reply))
  ]
  return { ...status, findings }
}

const textOf = ({ answers, silent, findings: found }: FleetStatus): string => {
  const paint = outputPainter()
  const nodes = answers.map(({ reply }) => reply).sort(compareStatus)
  const findings = [
    ...silent.map((node) => paint(Tone.Bad, `${node.address} did not answer: ${node.reason}`)),
    ...found.map((finding) => paint(Tone.Warning, finding))
  ]
  const summary = findings.length === 0 ? [paint(Tone.Good, 'No problems found.')] : findings
  return [tableOf(HEADER, nodes.map(rowOf), paint), '', ...summary].join('\n')
}

const jsonOf = ({ answers, silent, findings }: FleetStatus, indent: number): string => {
  const nodes = answers.map(({ address, reply }) => ({ address, ...reply }))
  return JSON.stringify({ nodes, silent, findings }, null, indent)
}

/** Prints the status of all nodes and the problems found. */
export const status = defineView(META, async ({ nodes, timeout, isJson, indent }) => {
  const answer = await readStatus(nodes, timeout)
  return isJson ? jsonOf(answer, indent) : textOf(answer)
})
