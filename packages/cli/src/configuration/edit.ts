/** Makes an edit of the stored configuration, waits until it is in force, and reports the result to the operator. */
import { randomUUID } from 'node:crypto'
import { userInfo } from 'node:os'

import type { ConfigurationStore, ConfigurationValue, EditId, EditOutcome } from '@bluebellhill/services'

import { parseNodeAddresses } from '../fleet/index.js'
import { ActionError, ExitCode, formatTime, outputPainter, parseDuration } from '../terminal/index.js'
import { differencesOf } from './differences.js'
import { greatestRevision, waitUntilInForce } from './inForce.js'
import type { InForceReport } from './inForce.js'

export const EDIT_ARGS = {
  nodes: { type: 'string', valueHint: 'ip:port,...', description: 'admin addresses of the nodes (else BLUEBELLHILL_NODES)' },
  wait: { type: 'boolean', description: 'wait until it is in force on all nodes', default: false },
  timeout: { type: 'string', valueHint: 'time', description: 'longest wait', default: '30s' },
  expect: { type: 'string', valueHint: 'revision', description: 'edit only where this revision is stored; 0 for none' },
  author: { type: 'string', valueHint: 'name', description: 'who makes the edit (else the name of the account)' },
  json: { type: 'boolean', description: 'write JSON', default: false }
} as const

/** Options of an edit as typed. */
export interface EditOptions {
  readonly nodes?: string
  readonly wait: boolean
  readonly timeout: string
  readonly expect?: string
  readonly author?: string
  readonly json: boolean
}

/** Result of an edit that was accepted, or that was not needed because the same text was stored already. */
export interface EditReport {
  readonly name: string
  readonly revision: number
  /** Id of the edit that wrote this revision. */
  readonly edit: string
  /** False if the same text was stored already. */
  readonly changed: boolean
  /** Whether the store's answer was lost and the edit was then found in the stored value. */
  readonly settled: boolean
  /** Revision of a later edit that was already made on top of this one. */
  readonly supersededBy: number | null
  /** Nodes on which the revision is in force; null if the action did not wait for them. */
  readonly force: InForceReport | null
}

/** Options of an edit after validation. */
interface CheckedOptions {
  /** Admin addresses; empty if no nodes are named. */
  readonly nodes: readonly string[]
  /** Longest wait until the edit is in force on all nodes, in milliseconds. */
  readonly timeout: number
  /** Revision that must be stored for the edit to be written; null if any may be. */
  readonly expected: number | null
  readonly author: string
}

const checkOptions = (options: EditOptions): CheckedOptions => {
  const shouldCallNodes = options.wait || (options.nodes ?? process.env.BLUEBELLHILL_NODES ?? '') !== ''
  const timeout = parseDuration(options.timeout)
  if (timeout === undefined) throw new ActionError(ExitCode.Usage, `--timeout "${options.timeout}" is no length of time`, 'give one such as 30s or 2m')
  const expected = options.expect === undefined ? null : Number(options.expect)
  if (expected !== null && !(Number.isSafeInteger(expected) && expected >= 0)) {
    throw new ActionError(ExitCode.Usage, `--expect "${options.expect}" is no revision`, 'give the number that "bluebellhill get" shows')
  }
  return { nodes: shouldCallNodes ? parseNodeAddresses(options.nodes, process.env) : [], timeout, expected, author: options.author ?? userInfo().username }
}

/**
 * Makes an edit, and with `--wait` waits until it is in force on all nodes.
 *
 * @param store - the stored configuration
 * @param name - the value's name
 * @param text - the new text; null removes the value
 * @param options - options as typed
 * @returns the result of the edit
 * @throws ActionError if the edit was not accepted, or is not in force on all nodes in time
 */
export const makeEdit = async (store: ConfigurationStore, name: string, text: string | null, options: EditOptions): Promise<EditReport> => {
  const { nodes, timeout, expected, author } = checkOptions(options)
  const minRevision = nodes.length === 0 ? 0 : await greatestRevision(nodes, name)
  const outcome = await store.edit({ name, edit: randomUUID() as string as EditId, author, text, expected, minRevision }, Date.now())
  const report = reportOf(name, text, outcome)
  if (!options.wait) return report
  const force = await waitUntilInForce(nodes, name, report.revision, timeout, (seen) => showProgress(seen, nodes.length))
  if (force.inForce.length < nodes.length) throw notInForceError(report, force, nodes.length)
  return { ...report, force }
}

const reportOf = (name: string, text: string | null, outcome: EditOutcome): EditReport => {
  switch (outcome.type) {
    case 'accepted': {
      const { value, settled, superseded } = outcome
      return { name, revision: value.revision, edit: value.edit, changed: true, settled, supersededBy: superseded?.revision ?? null, force: null }
    }
    case 'unchanged':
      return { name, revision: outcome.value.revision, edit: outcome.value.edit, changed: false, settled: false, supersededBy: null, force: null }
    case 'lost':
      throw rejectedEditError(name, text, outcome.current)
    case 'unavailable':
      throw new ActionError(ExitCode.Unreachable, `nothing was written: ${outcome.reason}`, 'apply again when the key-value service answers; nodes keep the configuration that they have')
    case 'unknown':
      throw new ActionError(ExitCode.Failed, `it is unknown whether the edit was written: ${outcome.reason}`, `apply again; where it was written, that changes nothing. "bluebellhill history ${name}" shows it`)
  }
}

const rejectedEditError = (name: string, text: string | null, current: ConfigurationValue | null): ActionError => {
  if (current === null) return new ActionError(ExitCode.Failed, `nothing was written: "${name}" is not stored`, 'apply without --expect, or with --expect 0')
  const { author, editedAt, revision } = current
  const winner = `revision ${revision} by ${author} at ${formatTime(editedAt)}`
  const differences = differencesOf({ name: winner, text: current.text }, { name: 'your edit', text: text ?? '' }, outputPainter())
  const message = `nothing was written: "${name}" holds ${winner}\n${differences}`
  return new ActionError(ExitCode.Failed, message, `merge that edit ("bluebellhill get ${name}") into your file, then apply with --expect ${revision}`)
}

const notInForceError = (report: EditReport, force: InForceReport, total: number): ActionError => {
  const others = [...force.behind, ...force.silent.map((node) => `${node.address} (${node.reason})`)]
  const message = `revision ${report.revision} of "${report.name}" is accepted, and in force on ${force.inForce.length} of ${total} nodes after ${force.elapsed} ms; not on ${others.join(', ')}`
  return new ActionError(ExitCode.Failed, message, 'look at these nodes with "bluebellhill status"; the edit need not be made again')
}

const showProgress = (report: InForceReport, total: number): void => {
  if (process.stderr.isTTY === true) process.stderr.write(`\rin force on ${report.inForce.length} of ${total} nodes `)
}

/**
 * Prints the result of an edit.
 *
 * @param report - the result
 * @param asJson - whether to print JSON
 */
export const showEdit = (report: EditReport, asJson: boolean): void => {
  if (asJson) return console.log(JSON.stringify(report, null, 2))
  const what = report.changed ? `revision ${report.revision} of "${report.name}" is accepted` : `"${report.name}" is the same already, at revision ${report.revision}`
  const settled = report.settled ? ' (the answer was lost; the edit was found in the store)' : ''
  const superseded = report.supersededBy === null ? '' : `; revision ${report.supersededBy} was made on top of it`
  const force = report.force === null ? '' : `\nin force on all ${report.force.inForce.length} nodes after ${report.force.elapsed} ms`
  console.log(`${what}${settled}${superseded}${force}`)
}
