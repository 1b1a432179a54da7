import { AdminPath, RunnerState } from '@bluebellhill/protocol'
import type { RunnerStatus, RunnersReply } from '@bluebellhill/protocol'

import { callNodes, defineView, warnOfUnresponsiveNodes } from '../fleet/index.js'
import type { FleetAnswer } from '../fleet/index.js'
import { Tone, formatDuration, outputPainter, tableOf } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'top',
  description: 'Show the runners, those with the greatest share of used memory first',
  examples: ['bluebellhill top --watch', 'bluebellhill top --json | jq ".runners[] | select(.state != \\"ready\\")"']
}

/** Status of a runner, with the node that dispatches requests to it. */
interface DispatchedRunner extends RunnerStatus {
  readonly dispatcher: string
}

const PERCENT = 100

/** Returns the used share of the runner's KV cache memory, between 0 and 1. */
const fillOf = (runner: RunnerStatus): number => runner.totalTokens === 0 ? 0 : 1 - runner.freeTokens / runner.totalTokens

const runnersOf = ({ answers }: FleetAnswer<RunnersReply>): DispatchedRunner[] => answers
  .flatMap(({ reply }) => reply.runners.map((runner) => ({ ...runner, dispatcher: reply.node })))
  .sort((left, right) => fillOf(right) - fillOf(left) || left.runner.localeCompare(right.runner))

const HEADER = ['RUNNER', 'DOMAIN', 'STATE', 'MODEL', 'VERSION', 'ROLE', 'RUNNING', 'WAITING', 'MEMORY', 'PREFILL/S', 'DECODE/S', 'REPORT', 'DISPATCHER']

const rowOf = (runner: DispatchedRunner): string[] => [
  runner.runner,
  runner.failureDomain,
  outputPainter()(runner.state === RunnerState.Ready ? Tone.Good : Tone.Warning, runner.state),
  runner.model ?? '-',
  runner.version ?? '-',
  runner.role,
  `${runner.running} of ${runner.slots}`,
  String(runner.waiting),
  `${Math.round(fillOf(runner) * PERCENT)}%`,
  String(Math.round(runner.prefillRate)),
  String(Math.round(runner.decodeRate)),
  runner.reportAge === null ? 'none yet' : `${formatDuration(runner.reportAge)} old`,
  runner.dispatcher
]

/** Returns the runners that have more than one dispatcher, which can happen for seconds after a takeover. */
const sharedRunners = (runners: readonly DispatchedRunner[]): string[] => {
  const counts = new Map<string, number>()
  for (const { runner } of runners) counts.set(runner, (counts.get(runner) ?? 0) + 1)
  return [...counts].filter(([, count]) => count > 1).map(([runner]) => runner)
}

const textOf = (runners: readonly DispatchedRunner[]): string => {
  const paint = outputPainter()
  const shared = sharedRunners(runners)
  const sharedWarning = shared.length === 0 ? [] : ['', paint(Tone.Warning, `More than one node dispatches ${shared.join(', ')}; this ends within seconds of a takeover, but lasts while failure domains cannot connect to each other.`)]
  if (runners.length === 0) return 'No node dispatches any runner: check "bluebellhill status" and the VM list.'
  return [tableOf(HEADER, runners.map(rowOf), paint), ...sharedWarning].join('\n')
}

/** Prints the status of all runners, those with the greatest share of used memory first. */
export const top = defineView(META, async ({ nodes, timeout, isJson, indent }) => {
  const answer = await callNodes<RunnersReply>(nodes, { path: AdminPath.Runners, timeout })
  const runners = runnersOf(answer)
  if (isJson) return JSON.stringify({ runners, silent: answer.silent }, null, indent)
  warnOfUnresponsiveNodes(answer.silent)
  return textOf(runners)
})
