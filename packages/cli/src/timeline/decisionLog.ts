/** Parses the decision logs that nodes write on the users' platform, and explains from them what happened to one request. */
import { describeEvidence, describeQuarantined, evidenceAgainst } from './quarantineEvidence.js'

/** One parsed line of the decision log. */
export interface LogLine {
  /** Wall-clock time in milliseconds since the epoch. */
  readonly at: number
  readonly node: string
  readonly event: string
  /** All fields of the line by name, with quotes removed. */
  readonly fields: Readonly<Record<string, string>>
}

/** Explanation of one request, from the decision log. */
export interface LoggedRequest {
  /** What happened to the request, in order of time; one sentence for each line of the log. */
  readonly sentences: readonly string[]
  /** Other requests on its backend servers, and changes of state of its nodes and servers, shortly before or during the request. */
  readonly meanwhile: readonly string[]
}

/** Matches one `name=value` field; a value that holds spaces is quoted. */
const FIELD = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g

/** Events up to this many milliseconds before a request are shown as possible causes of its outcome. */
const BACKGROUND_MS = 5_000

/** Greatest number of state changes that are shown with a request. */
const MAX_STATE_CHANGES = 20

/** Greatest number of other requests on the same servers that are shown; those with the longest prompts are chosen. */
const MAX_CONCURRENT_REQUESTS = 5

/** State changes of a node that may explain the outcome of any of its requests. */
const NODE_EVENTS: ReadonlySet<string> = new Set([
  'node.started', 'node.stopping', 'node.stopped', 'node.failed', 'settings.reloaded', 'settings.unusable', 'configuration.installed',
  'store.lost', 'store.regained', 'store.history_lost', 'store.restored', 'servers.restored', 'peer.lost', 'peer.found', 'scheduler.group', 'domain.avoided', 'log.lines_dropped',
  'evacuation.changed', 'evacuation.unknown_domain', 'evacuation.peer_outdated'
])

/** State changes of one backend server, as seen by a node. */
const SERVER_EVENTS: ReadonlySet<string> = new Set(['server.arrived', 'server.departed', 'server.avoided', 'server.stated', 'server.paused', 'server.cold', 'server.uneven', 'server.even', 'engine.crash_suspected', 'engine.crash_refuted'])

const unquote = (value: string): string => value.startsWith('"') ? value.slice(1, -1).replace(/\\(.)/g, '$1') : value

/**
 * Parses the output of nodes.
 *
 * @param text - the output; lines of other programs, and prefixes before the first field of a line, are skipped
 * @returns the log lines, ordered by time
 */
export const parseDecisionLog = (text: string): LogLine[] =>
  text.split('\n').flatMap((line) => {
    const fields = Object.fromEntries([...line.matchAll(FIELD)].map(([, name = '', value = '']) => [name, unquote(value)]))
    const at = Date.parse(fields.time ?? '')
    return fields.event === undefined || fields.node === undefined || Number.isNaN(at) ? [] : [{ at, node: fields.node, event: fields.event, fields }]
  }).sort((a, b) => a.at - b.at)

const listOf = (text: string | undefined): string[] => text === undefined || text === '' ? [] : text.split(',')

const timeOfDay = (at: number): string => new Date(at).toISOString().slice(11, 23)

const describeSent = ({ at, node, fields }: LogLine): string => {
  const helpers = listOf(fields.helpers)
  const helpersText = helpers.length === 0 ? '' : `, with ${helpers.length} helper engines for its prefill (${helpers.join(', ')})`
  const expected = Number(fields.expected_ms) > 0 ? ` The first event was expected after ${fields.expected_ms} ms.` : ''
  return `${timeOfDay(at)}: node ${node} sent it to ${fields.server} in ${fields.server_domain} as attempt ${fields.attempt}${helpersText}; it was due in ${fields.due_in_ms} ms ` +
    `(configuration ${fields.configuration}, servers as of revision ${fields.servers_revision}).${expected}${describePlacement(fields)}`
}

/** Earlier builds log neither the scheduler nor the load of the server. */
const describePlacement = ({ scheduler, decided_ms: decided, server_requests: requests, server_pending_ms: pending, deferred, trial, server_cold_ms: cold }: LogLine['fields']): string => {
  if (scheduler === undefined) return ''
  const by = scheduler === 'self' ? 'The node itself chose the server' : `The scheduler at ${scheduler} chose the server`
  const risk = trial === undefined ? '' : ' It was a trial: it or a part of its prompt was quarantined.'
  const deferral = deferred === undefined ? '' : ' It was deferred, since no slot was free in time.'
  const warmUp = cold === undefined ? '' : ` The server was cold for another ${cold} ms, and got no more requests than it accepts then.`
  return ` ${by} within ${decided} ms; the server had ${requests} requests and ${pending} ms of pending prefill.${deferral}${risk}${warmUp}`
}

/** Describes what servers had stated when the next attempt found none. */
const describeNotPlaced = ({ at, fields }: LogLine): string => {
  const retry = fields.retry_after_ms === undefined ? '' : ` The caller could return after ${fields.retry_after_ms} ms${fields.promised === 'true' ? '; memory was kept for it until then' : ''}.`
  if (fields.reason === 'domains_evacuated') return `${timeOfDay(at)}: the operator has evacuated all failure domains whose servers of ${fields.service} it could reach.${retry}`
  return `${timeOfDay(at)}: no server of ${fields.service} could take it: ${fields.reason}${describeStatement(fields)}.${retry}`
}

/** Describes for how long a refused request had to wait for memory, and whether the scheduler kept it. */
const describePromise = ({ at, node, event, fields }: LogLine): string => {
  const forecast = `the scheduler ${node} expected ${fields.tokens_needed} tokens of free memory in ${fields.room_in_ms} ms on ${listOf(fields.engines_kept).join(', ')}`
  const decision = event === 'promise.made' ? `kept them for request identity ${fields.identity}` : 'kept none'
  return `${timeOfDay(at)}: ${forecast} and ${decision}; it told the caller to return after ${fields.retry_after_ms} ms (${fields.promises} promises in force).`
}

const describeKeptPromise = ({ at, node, fields }: LogLine): string =>
  `${timeOfDay(at)}: it returned for the memory that scheduler ${node} had kept for identity ${fields.identity}, ${fields.late_ms} ms after the named time, and was placed.`

const describeStatement = ({ server, server_limit: limit, server_leaving: leaving, server_heard_by: node, server_stated_ms_ago: age }: LogLine['fields']): string => {
  if (server === undefined) return ''
  if (limit !== undefined) return `; ${server} had stated a limit of ${limit} requests a second to node ${node}, ${age} ms before`
  if (leaving !== undefined) return `; ${server} had told node ${node} ${age} ms before that it leaves`
  return `; ${server} had asked this node for a pause`
}

/** Describes the newest statements of the servers that an attempt was not sent to because of them. */
const describePassedOver = (lines: readonly LogLine[], sent: LogLine): string[] =>
  listOf(sent.fields.passed_over).map((server) => {
    const isStatement = ({ event, node, at, fields }: LogLine): boolean => at <= sent.at && fields.server === server &&
      ((event === 'server.stated' && fields.age_ms === undefined) || event === 'server.cold' || (event === 'server.paused' && node === sent.node))
    const statement = lines.findLast(isStatement)
    const cause = statement === undefined ? 'the log does not hold its statement' : `${describeStated(statement)}, ${sent.at - statement.at} ms before`
    return `${timeOfDay(sent.at)}: server ${server} was not considered: ${cause}.`
  })

const describeStated = ({ event, node, fields }: LogLine): string => {
  if (event === 'server.paused') return `it had asked node ${node} for a pause of ${fields.pause_ms} ms`
  if (event === 'server.cold') return `it was known to node ${node} to stay cold for ${fields.left_ms} ms, with a limit of ${fields.limit} requests a second`
  return fields.leaving === undefined ? `it had stated a limit of ${fields.request_limit} requests a second to node ${node}` : `it had told node ${node} that it leaves`
}

const describeFailedAttempt = ({ at, fields }: LogLine): string =>
  `${timeOfDay(at)}: the attempt at ${fields.server} ended after ${fields.after_ms} ms as ${fields.end}: ${fields.reason}.`

/** The evidence comes first, since it is older than the refusal. */
const describeQuarantine = (lines: readonly LogLine[], line: LogLine): string[] => {
  if (line.event !== 'request.quarantined') return []
  return evidenceAgainst(lines, line).map((evidence) => `${timeOfDay(evidence.at)}: ${describeEvidence(evidence)}`)
}

const describeHedge = ({ at, fields }: LogLine): string =>
  `${timeOfDay(at)}: ${fields.beside} in ${fields.beside_domain} had not answered after ${fields.after_ms} ms, later than nearly all requests of its kind (${fields.delay_ms} ms), so it was sent to ${fields.server} in ${fields.server_domain} too.`

const describeHedgeRefused = ({ at, fields }: LogLine): string =>
  `${timeOfDay(at)}: ${fields.beside} had not answered after ${fields.after_ms} ms, later than nearly all requests of its kind (${fields.delay_ms} ms); no second server was asked: ${fields.reason}.`

const describeHedgeLimited = ({ at, node, fields }: LogLine): string =>
  `${timeOfDay(at)}: the scheduler ${node} allowed no second server: ${fields.reason}; ${fields.requests} of ${fields.slots} slots of ${fields.service} were in use, and ${fields.max_ratio} of the requests may be hedged.`

const describeHedgeEnded = ({ at, fields }: LogLine): string =>
  `${timeOfDay(at)}: ${fields.server} (${fields.winner === 'hedge' ? 'the second server' : 'the first server'}) answered first, after ${fields.after_ms} ms; the other attempt was cancelled.`

const describeEnded = ({ at, fields }: LogLine): string => {
  const status = fields.status === undefined ? '' : ` with status ${fields.status}`
  const first = fields.first_ms === undefined ? '' : ` The caller received the first part of the answer after ${fields.first_ms} ms.`
  const pause = fields.longest_pause_ms === undefined ? '' : ` The longest pause between events was ${fields.longest_pause_ms} ms.`
  return `${timeOfDay(at)}: it ended as ${fields.outcome}${status} after ${fields.took_ms} ms.${first}${pause}`
}

const describeQueued = ({ at, fields }: LogLine): string => {
  const waited = fields.waited_ms === '0' || fields.waited_ms === undefined ? '' : ` It had waited for ${fields.waited_ms} ms at another scheduler.`
  const forecast = `room for its ${fields.tokens} tokens was expected in ${fields.forecast_ms} ms, and it could wait for ${fields.give_up_ms} ms`
  return `${timeOfDay(at)}: no engine of ${fields.service} had room for it; it began to wait at the scheduler with urgency ${fields.urgency}, as one of ${fields.waiting}: ${forecast}.${waited}`
}

const QUEUE_OUTCOMES: Readonly<Record<string, string>> = {
  placed: 'was placed',
  withdrawn: 'was withdrawn by its node',
  expired: 'was dropped, since its node no longer renewed it',
  too_late: 'was refused, since its caller could no longer be served in time',
  no_room: 'was refused, since too many requests before it waited',
  redirected: 'was passed on to the scheduler of another group'
}

const describeDequeued = ({ at, fields }: LogLine): string =>
  `${timeOfDay(at)}: it ${QUEUE_OUTCOMES[fields.outcome ?? ''] ?? `left the queue as ${fields.outcome}`} after ${fields.queued_ms} ms in the queue of the scheduler.`

const describeNodeQueued = ({ at, node, fields }: LogLine): string => `${timeOfDay(at)}: node ${node} lets it wait at the scheduler ${fields.scheduler}.`

const describeWithdrawn = ({ at, node, fields }: LogLine): string => {
  const cause = fields.caller_left === 'true' ? 'the request was over' : 'its deadline was near'
  return `${timeOfDay(at)}: node ${node} withdrew it from the scheduler ${fields.scheduler} after ${fields.queued_ms} ms, since ${cause}.`
}

/** A grant is returned because of its age, of servers that have left, or of failure domains that were evacuated as far as the node knew. */
const describeReturned = ({ at, node, fields }: LogLine): string => {
  if (fields.age_ms !== undefined) return `${timeOfDay(at)}: the place at ${fields.server} was returned to its scheduler: it had been granted ${fields.age_ms} ms before, as the process of the node was held up.`
  const evacuated = fields.evacuated === undefined ? '' : ` Failure domains evacuated as far as the node knew: ${fields.evacuated}.`
  return `${timeOfDay(at)}: node ${node} did not use the placement on ${fields.server} by the scheduler at ${fields.scheduler}, since it must not send to ${fields.unusable}.${evacuated}`
}

const describeEvacuation = ({ at, node, fields }: LogLine): string => {
  const begun = fields.begun === 'none' ? '' : ` evacuation of ${fields.begun} begun,`
  const ended = fields.ended === 'none' ? '' : ` evacuation of ${fields.ended} ended,`
  return `${timeOfDay(at)}: node ${node} learnt from ${fields.origin === 'store' ? 'the store' : 'another node'}:${begun}${ended} as of revision ${fields.revision}.`
}

/** Written by the scheduler that placed the request, where the number of requests alone did not decide. */
const describeByTime = ({ at, node, fields }: LogLine): string =>
  `${timeOfDay(at)}: node ${node} chose by expected time ${speedText(fields, 'server')}, and not ${speedText(fields, 'other')}.`

const speedText = (fields: LogLine['fields'], name: 'server' | 'other'): string => {
  const warmth = fields[`${name}_warmth`]
  const warmUp = warmth === undefined ? '' : `, warmed up by ${Math.round(Number(warmth) * 100)} %`
  return `${fields[name]} (${fields[`${name}_requests`]} requests, ${fields[`${name}_relative`]} times the usual time${warmUp})`
}

const describeSpeed = ({ at, node, event, fields }: LogLine): string => {
  const speed = event === 'server.even' ? 'about as long as the others' : `${fields.relative} times as long as the median server`
  return `${timeOfDay(at)}: by the answers known to node ${node}, ${fields.server} took ${speed} of ${fields.service}.`
}

const describeCutOff = ({ at, node, fields }: LogLine): string =>
  `${timeOfDay(at)}: node ${node} cut its caller off, which had left ${fields.unread} bytes unread, the oldest for ${fields.waited_ms} ms. It read slowest while the node buffered ` +
  `${fields.unread_bytes} unread bytes, ${fields.collected_bytes} of answers and ${fields.body_bytes} of requests, of ${fields.limit_bytes}.`

const describeHeld = ({ at, node, fields }: LogLine): string =>
  `${timeOfDay(at)}: node ${node} held its server back, since the caller had left ${fields.unread} bytes unread and the buffers of the node were half full.`

const describeOther = ({ at, node, event, fields }: LogLine): string => {
  const shownFields = Object.entries(fields).filter(([name]) => !['time', 'level', 'node', 'domain', 'event', 'request'].includes(name))
  return `${timeOfDay(at)}: ${event} on node ${node} (${shownFields.map(([name, value]) => `${name} ${value}`).join(', ')}).`
}

const DESCRIBERS: Readonly<Record<string, (line: LogLine) => string>> = {
  'request.sent': describeSent,
  'request.not_placed': describeNotPlaced,
  'placement.queued': describeQueued,
  'placement.dequeued': describeDequeued,
  'request.queued': describeNodeQueued,
  'request.withdrawn': describeWithdrawn,
  'promise.made': describePromise,
  'promise.not_made': describePromise,
  'promise.kept': describeKeptPromise,
  'attempt.failed': describeFailedAttempt,
  'hedge.sent': describeHedge,
  'hedge.refused': describeHedgeRefused,
  'hedge.limited': describeHedgeLimited,
  'hedge.ended': describeHedgeEnded,
  'grant.returned': describeReturned,
  'placement.by_time': describeByTime,
  'caller.cut_off': describeCutOff,
  'attempt.held': describeHeld,
  'request.quarantined': (line) => `${timeOfDay(line.at)}: ${describeQuarantined(line)}`,
  'request.ended': describeEnded
}

const STATE_DESCRIBERS: Readonly<Record<string, (line: LogLine) => string>> = { 'evacuation.changed': describeEvacuation, 'server.uneven': describeSpeed, 'server.even': describeSpeed }

const serversOf = ({ fields }: LogLine): string[] => [...listOf(fields.server), ...listOf(fields.helpers)]

/** Describes the requests with the longest prompts that were sent to the same servers between two times. */
const concurrentRequestsOf = (lines: readonly LogLine[], request: string, servers: ReadonlySet<string>, from: number, until: number): string[] => {
  const lengths = new Map(lines.filter(({ event }) => event === 'request.ended').map(({ fields }) => [fields.request, Number(fields.tokens_in ?? 0)]))
  return lines
    .filter((line) => line.event === 'request.sent' && line.fields.request !== request && line.at >= from && line.at <= until && serversOf(line).some((server) => servers.has(server)))
    .map((line) => ({ line, tokens: lengths.get(line.fields.request ?? '') ?? 0 }))
    .sort((a, b) => b.tokens - a.tokens)
    .slice(0, MAX_CONCURRENT_REQUESTS)
    .sort((a, b) => a.line.at - b.line.at)
    .map(({ line, tokens }) => `${timeOfDay(line.at)}: request ${line.fields.request}${tokens === 0 ? '' : ` of ${tokens} tokens`} went to ${serversOf(line).filter((server) => servers.has(server)).join(', ')} too.`)
}

/**
 * Explains what happened to one request.
 *
 * @param lines - the log lines, ordered by time
 * @param request - id of the request
 * @returns the explanation; null if no line names the request
 */
export const explainLogged = (lines: readonly LogLine[], request: string): LoggedRequest | null => {
  const own = lines.filter(({ fields }) => fields.request === request)
  const [first] = own
  const last = own.at(-1)
  if (first === undefined || last === undefined) return null
  const nodes = new Set(own.map(({ node }) => node))
  const servers = new Set(own.flatMap((line) => [...serversOf(line), ...listOf(line.fields.passed_over)]))
  const from = first.at - BACKGROUND_MS
  const stateChanges = lines
    .filter(({ at, node, event, fields }) => at >= from && at <= last.at && nodes.has(node) &&
      (NODE_EVENTS.has(event) || (SERVER_EVENTS.has(event) && servers.has(fields.server ?? ''))))
    .map((line) => (STATE_DESCRIBERS[line.event] ?? describeOther)(line))
  return {
    sentences: own.flatMap((line) => [...describeQuarantine(lines, line), (DESCRIBERS[line.event] ?? describeOther)(line), ...describePassedOver(lines, line)]),
    meanwhile: [...concurrentRequestsOf(lines, request, servers, from, last.at), ...stateChanges.slice(-MAX_STATE_CHANGES)]
  }
}
