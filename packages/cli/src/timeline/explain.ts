/** Explains in a few sentences what happened to one request, from its time line events. */
import { EventKind, codeOf, wallOf } from '@bluebellhill/protocol'
import type { EventOf, ResultCode, TimeLineEvent } from '@bluebellhill/protocol'

import type { UnresponsiveNode } from '../fleet/index.js'
import { formatCount, formatDuration, formatTime, plural } from '../terminal/index.js'

/** What `bluebellhill explain` writes about one request. */
export interface Explanation {
  /** What happened, in order of time. */
  readonly sentences: readonly string[]
  /** What an operator may do; null if the request was answered or its end is unknown. */
  readonly advice: string | null
  /** Which events are missing, and why they may be. */
  readonly gaps: readonly string[]
}

/** Text for each value of `ran`: whether a backend server ran the request. */
const RAN_WORDS: Readonly<Record<string, string>> = {
  no: 'it did not run',
  yes: 'it ran',
  unknown: 'it may have run'
}

const reasonSuffix = (reason: string): string => reason === '' ? '.' : `: ${reason.replace(/\.$/, '')}.`

const runnerOf = (event: TimeLineEvent): string => event.runner ?? 'an unnamed runner'

/** Prefix of the dispatcher's name when an order goes to another failure domain, which chooses the dispatcher. */
const DOMAIN_PREFIX = 'domain:'

const dispatcherText = (dispatcher: string | undefined): string =>
  dispatcher?.startsWith(DOMAIN_PREFIX) === true ? `The dispatcher in ${dispatcher.slice(DOMAIN_PREFIX.length)}` : `Dispatcher ${dispatcher ?? '(unnamed)'}`

const codeText = (kind: string): string => {
  const code: ResultCode | undefined = codeOf(kind as ResultCode['name'])
  return code === undefined ? kind : `${code.name} (${code.number})`
}

const describeAdmitted = (event: EventOf<typeof EventKind.RequestAdmitted>): string => {
  const { model, promptTokens, maxTokens, limit, idempotent } = event.payload
  const sendLimit = idempotent ? '' : ' It may be sent to a backend server once only.'
  return `Node ${event.node} admitted it for organisation ${event.organisation ?? '(none)'} at ${formatTime(wallOf(event.stamp))} UTC: ` +
    `model ${model}, ${plural(promptTokens, 'prompt token')}, up to ${formatCount(maxTokens)} new ones, to be answered within ${formatDuration(limit)}.${sendLimit}`
}

const describeGranted = (event: EventOf<typeof EventKind.OrderGranted>): string => {
  const group = event.payload.group ?? []
  const target = group.length > 0 ? `the group ${group.join(', ')}` : `runner ${runnerOf(event)}`
  return `Dispatcher ${event.node} granted ${target} after ${formatDuration(event.payload.queueDelay)} in its queue${reasonSuffix(event.reason)}`
}

const describeRefused = (event: EventOf<typeof EventKind.RequestRefused>): string => {
  const { code, ran, retryAfter } = event.payload
  const retry = retryAfter === null || retryAfter === undefined ? '' : ` The caller was told to come back in ${formatDuration(retryAfter)}.`
  return `Node ${event.node} refused it as ${codeText(code)}; ${RAN_WORDS[ran] ?? ran}${reasonSuffix(event.reason)}${retry}`
}

const describeFinished = (event: EventOf<typeof EventKind.RequestFinished>): string => {
  const { code, ran, generated, duration, attempts } = event.payload
  const cost = `${plural(generated, 'token')} in ${plural(attempts, 'attempt')}`
  if (code === 'answered') return `It was answered whole after ${formatDuration(duration)}: ${cost}.`
  return `It ended after ${formatDuration(duration)} as ${codeText(code)}; ${RAN_WORDS[ran] ?? ran} (${cost})${reasonSuffix(event.reason)}`
}

type Describer<Kind extends EventKind> = (event: EventOf<Kind>) => string | null

const omitted = (): null => null

/** Sentence for each event kind; null if another event has the same information or the kind does not concern a request. */
const DESCRIBERS: { readonly [Kind in EventKind]: Describer<Kind> } = {
  [EventKind.RequestAdmitted]: describeAdmitted,
  [EventKind.RequestRefused]: describeRefused,
  [EventKind.RequestFinished]: describeFinished,
  [EventKind.KeyClaimed]: (event) => `The register answered its Idempotency-Key with "${event.payload.state}" after ${formatDuration(event.payload.duration)}${reasonSuffix(event.reason)}`,
  [EventKind.OrderSought]: omitted,
  [EventKind.OrderQueued]: omitted,
  [EventKind.OrderGranted]: describeGranted,
  [EventKind.OrderRefused]: (event) => `Node ${event.node} refused the order as ${codeText(event.payload.code)}${reasonSuffix(event.reason)}`,
  [EventKind.DispatcherLost]: (event) => `${dispatcherText(event.payload.dispatcher)} was lost${reasonSuffix(event.reason)}`,
  [EventKind.AttemptSent]: omitted,
  [EventKind.FirstToken]: (event) => `Runner ${runnerOf(event)} sent the first token ${formatDuration(event.payload.elapsed)} after admission.`,
  [EventKind.AttemptBroken]: (event) => `The attempt on runner ${runnerOf(event)} broke after ${plural(event.payload.generated, 'token')}${reasonSuffix(event.reason)}`,
  [EventKind.AttemptCompleted]: omitted,
  [EventKind.AttemptResumed]: (event) => `It was resumed on runner ${runnerOf(event)} at token ${formatCount(event.payload.offset)}.`,
  [EventKind.AttemptContinued]: (event) => `It was continued on runner ${runnerOf(event)} from token ${formatCount(event.payload.offset)}.`,
  [EventKind.AttemptCancelled]: (event) => `The attempt on runner ${runnerOf(event)} was cancelled${reasonSuffix(event.reason)}`,
  [EventKind.AttemptRecalled]: (event) => `${dispatcherText(event.payload.dispatcher)} called the attempt on runner ${runnerOf(event)} back${reasonSuffix(event.reason)}`,
  [EventKind.AnswerDropped]: (event) => `A ${event.payload.cause} answer of runner ${runnerOf(event)} was dropped${reasonSuffix(event.reason)}`,
  [EventKind.GrantLapsed]: (event) => `Dispatcher ${event.node} expired the grant on runner ${runnerOf(event)}${reasonSuffix(event.reason)}`,
  [EventKind.OrphanFreed]: (event) => `Dispatcher ${event.node} freed the KV cache memory that the attempt still held on runner ${runnerOf(event)}${reasonSuffix(event.reason)}`,
  [EventKind.RunnerTakenOver]: omitted,
  [EventKind.RunnerChanged]: omitted,
  [EventKind.MemberChanged]: omitted,
  [EventKind.ClockDistrusted]: omitted,
  [EventKind.ProcessPaused]: omitted,
  [EventKind.ConfigurationInstalled]: omitted,
  [EventKind.LeaseWon]: omitted,
  [EventKind.LeaseLost]: omitted,
  [EventKind.EngineOrdered]: omitted,
  [EventKind.PlatformChanged]: omitted,
  [EventKind.PartFailed]: (event) => `Node ${event.node} had an unexpected error in its ${event.payload.part}${reasonSuffix(event.reason)}`,
  [EventKind.NodeStarted]: omitted,
  [EventKind.NodeStopping]: omitted,
  [EventKind.NodeStopped]: omitted
}

/** Maps a kind of event to the kinds that make it redundant if one of them came earlier for the same attempt. */
const REPEATS: ReadonlyMap<EventKind, readonly EventKind[]> = new Map([
  [EventKind.AttemptRecalled, [EventKind.AttemptRecalled]],
  [EventKind.AttemptCancelled, [EventKind.AttemptRecalled, EventKind.AttemptBroken, EventKind.AttemptCancelled]]
])

const isRepeat = (event: TimeLineEvent, index: number, events: readonly TimeLineEvent[]): boolean => {
  const earlierKinds = REPEATS.get(event.kind) ?? []
  return event.attempt !== undefined && events.slice(0, index).some((earlier) => earlier.attempt === event.attempt && earlierKinds.includes(earlier.kind))
}

const describe = (event: TimeLineEvent): string | null => (DESCRIBERS[event.kind] as Describer<EventKind>)(event as EventOf<EventKind>)

const isEnd = (event: TimeLineEvent): boolean => event.kind === EventKind.RequestFinished || event.kind === EventKind.RequestRefused

const endCode = (event: TimeLineEvent | undefined): ResultCode | undefined => {
  if (event?.kind !== EventKind.RequestFinished && event?.kind !== EventKind.RequestRefused) return undefined
  return codeOf(event.payload.code)
}

const lastEventText = (events: readonly TimeLineEvent[]): string => {
  const last = events[events.length - 1]
  return last === undefined ? '' : ` The last recorded event is ${last.kind} on node ${last.node} at ${formatTime(wallOf(last.stamp))} UTC.`
}

const gapsOf = (events: readonly TimeLineEvent[], silent: readonly UnresponsiveNode[]): string[] => {
  const starts = events.some((event) => event.kind === EventKind.RequestAdmitted || event.kind === EventKind.RequestRefused)
  const ends = events.some(isEnd)
  const gaps: string[] = []
  if (!starts) gaps.push('No node holds its beginning: the ring buffer has overwritten it, or the node that admitted it did not answer.')
  if (!ends) gaps.push(`No node holds its end: it is in progress, or the node that admitted it has stopped or did not answer.${lastEventText(events)}`)
  if (silent.length > 0) gaps.push(`Did not answer: ${silent.map((node) => node.address).join(', ')}; their part of the path is missing.`)
  return gaps
}

/**
 * Explains what happened to one request.
 *
 * @param events - the events of this request, ordered by time
 * @param silent - the nodes that did not answer
 * @returns the sentences, advice for the operator and gaps in the events
 */
export const explain = (events: readonly TimeLineEvent[], silent: readonly UnresponsiveNode[]): Explanation => {
  const sentences = events.flatMap((event, index) => isRepeat(event, index, events) ? [] : describe(event) ?? [])
  const code = endCode(events.findLast(isEnd))
  const needsAdvice = code !== undefined && code.name !== 'answered'
  return { sentences, advice: needsAdvice ? code.operator : null, gaps: gapsOf(events, silent) }
}
