import { setTimeout as sleep } from 'node:timers/promises'

import { defineCommand } from 'citty'
import { AdminPath, NodeState } from '@bluebellhill/protocol'
import type { DrainReply, StatusReply } from '@bluebellhill/protocol'

import { FLEET_ARGS, callNodes, durationOption, parseNodeAddresses } from '../fleet/index.js'
import { ActionError, ExitCode, formatDuration, plural, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'drain',
  description: 'Ask one node to accept no new requests, finish those in progress and stop',
  examples: [
    'bluebellhill drain 10.0.0.3:7401',
    'bluebellhill drain 10.0.0.3:7401 --wait 10m'
  ]
}

/** Time between two status queries of a draining node, in milliseconds. */
const POLL_INTERVAL = 1_000

const readStatus = async (address: string, timeout: number): Promise<StatusReply | null> => {
  try {
    const { answers } = await callNodes<StatusReply>([address], { path: AdminPath.Status, timeout })
    return answers[0]?.reply ?? null
  } catch (error) {
    // a node that has stopped does not answer, so a failed call ends the wait
    if (error instanceof ActionError) return null
    throw error
  }
}

const waitUntilStopped = async (address: string, limit: number, timeout: number): Promise<void> => {
  const end = Date.now() + limit
  for (let status = await readStatus(address, timeout); status !== null; status = await readStatus(address, timeout)) {
    if (status.state === NodeState.Stopped) return
    process.stderr.write(`${status.node}: ${status.state}, ${plural(status.requestsInProgress, 'request')} in progress\n`)
    if (Date.now() >= end) {
      throw new ActionError(ExitCode.Failed, `${status.node} still has ${plural(status.requestsInProgress, 'request')} in progress after ${formatDuration(limit)}`,
        `it continues to drain; check again with "bluebellhill status --nodes ${address}"`)
    }
    await sleep(POLL_INTERVAL)
  }
}

/** Drains one node, and with `--wait` waits until it has stopped. */
export const drain = defineCommand({
  meta: META,
  args: {
    node: { type: 'positional', required: true, valueHint: 'ip:port', description: 'admin address of the node' },
    wait: { type: 'string', valueHint: 'time', description: 'wait until it has stopped, at most this long' },
    timeout: FLEET_ARGS.timeout,
    json: FLEET_ARGS.json
  },
  run: ({ args }) => runAction(args, async () => {
    const nodes = parseNodeAddresses(args.node, {})
    const [address] = nodes
    if (address === undefined || nodes.length > 1) {
      throw new ActionError(ExitCode.Usage, 'drain accepts one node at a time', 'drain the next node when this one has stopped, so that the other nodes have capacity for its requests')
    }
    const timeout = durationOption('timeout', args.timeout)
    const limit = args.wait === undefined ? null : durationOption('wait', args.wait)
    const { answers } = await callNodes<DrainReply>(nodes, { path: AdminPath.Drain, method: 'POST', timeout })
    const reply = answers[0]!.reply
    if (limit !== null) await waitUntilStopped(address, limit, timeout)
    if (args.json) console.log(JSON.stringify({ ...reply, stopped: limit !== null }, null, 2))
    else if (limit !== null) console.log(`${reply.node} has stopped.`)
    else console.log(`${reply.node} is draining: ${plural(reply.requestsInProgress, 'request')} in progress. It stops by itself when they are done.`)
  })
})
