/** On how many nodes a revision is in force. */
import { setTimeout as sleep } from 'node:timers/promises'

import { AdminPath } from '@bluebellhill/protocol'
import type { ConfigurationReply } from '@bluebellhill/protocol'

import { callNodes } from '../fleet/index.js'
import type { UnresponsiveNode } from '../fleet/index.js'

const POLL_MS = 100
const CALL_TIMEOUT_MS = 2_000

export interface InForceReport {
  /** Milliseconds until the last node had it, or until the time was over. */
  readonly elapsed: number
  /** Names of the nodes where the revision or a newer one is in force. */
  readonly inForce: readonly string[]
  /** Nodes that answered and have an older one. */
  readonly behind: readonly string[]
  readonly silent: readonly UnresponsiveNode[]
}

/**
 * Asks all nodes once.
 *
 * @param nodes - admin addresses
 * @param name - the value's name
 * @returns the greatest revision of the value that a node has in force; 0 where there is none
 */
export const greatestRevision = async (nodes: readonly string[], name: string): Promise<number> => {
  const { answers } = await callNodes<ConfigurationReply>(nodes, { path: AdminPath.Configuration, timeout: CALL_TIMEOUT_MS })
  return Math.max(0, ...answers.map(({ reply }) => reply.revisions[name] ?? 0))
}

/**
 * Waits until a revision is in force on all nodes.
 *
 * @param nodes - admin addresses
 * @param name - the value's name
 * @param revision - the accepted revision
 * @param timeout - longest wait in milliseconds
 * @param progress - told after each look
 * @returns what was seen last
 */
export const waitUntilInForce = async (nodes: readonly string[], name: string, revision: number, timeout: number, progress: (report: InForceReport) => void): Promise<InForceReport> => {
  const start = performance.now()
  for (;;) {
    const report = await readForceReport(nodes, name, revision, start)
    progress(report)
    if (report.inForce.length === nodes.length || report.elapsed >= timeout) return report
    await sleep(POLL_MS)
  }
}

const readForceReport = async (nodes: readonly string[], name: string, revision: number, start: number): Promise<InForceReport> => {
  const { answers, silent } = await callNodes<ConfigurationReply>(nodes, { path: AdminPath.Configuration, timeout: CALL_TIMEOUT_MS })
  const has = ({ reply }: typeof answers[number]): boolean => (reply.revisions[name] ?? 0) >= revision
  return {
    elapsed: Math.round(performance.now() - start),
    inForce: answers.filter(has).map(({ reply }) => reply.node),
    behind: answers.filter((answer) => !has(answer)).map(({ reply }) => reply.node),
    silent
  }
}
