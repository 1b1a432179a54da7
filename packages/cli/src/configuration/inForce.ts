/** Queries which nodes have a configuration revision in force, and waits until all have it. */
import { setTimeout as sleep } from 'node:timers/promises'

import { AdminPath } from '@bluebellhill/protocol'
import type { ConfigurationReply } from '@bluebellhill/protocol'

import { callNodes } from '../fleet/index.js'
import type { UnresponsiveNode } from '../fleet/index.js'

/** Time between two queries of the nodes, in milliseconds. */
const POLL_MS = 100
/** Timeout of one call to a node, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000

/** Which nodes have a revision in force. */
export interface InForceReport {
  /** Milliseconds since the wait started. */
  readonly elapsed: number
  /** Names of the nodes where the revision or a newer one is in force. */
  readonly inForce: readonly string[]
  /** Names of the nodes that answered and have an older revision or none. */
  readonly behind: readonly string[]
  /** Nodes that did not answer. */
  readonly silent: readonly UnresponsiveNode[]
}

/**
 * Queries all nodes once for the revision of a value.
 *
 * @param nodes - admin addresses
 * @param name - the value's name
 * @returns the greatest revision of the value that is in force on a node; 0 if none has the value
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
 * @param progress - called with the report of each query
 * @returns the report of the last query; some nodes lack the revision if the timeout passed
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
