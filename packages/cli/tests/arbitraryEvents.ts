/** Fast-check generator of time line events of every kind with complete payloads. */
import fc from 'fast-check'
import { DropCause, EventKind, HybridClock, MemberState, RunnerState, listCodes } from '@bluebellhill/protocol'
import type { EventPayloads, TimeLineEvent } from '@bluebellhill/protocol'

const name = fc.stringMatching(/^[a-z0-9-]{1,10}$/)
const millis = fc.integer({ min: 0, max: 1e9 })
const tokens = fc.integer({ min: 0, max: 1e6 })
const code = fc.constantFrom(...listCodes().map((entry) => entry.name))
const ran = fc.constantFrom('no' as const, 'yes' as const, 'unknown' as const)
const mode = fc.constantFrom('fresh' as const, 'resume' as const, 'continue' as const)
const runnerState = fc.constantFrom(...Object.values(RunnerState))
const memberState = fc.constantFrom(...Object.values(MemberState))
const fencing = fc.nat().map(String)

const PAYLOADS: { readonly [Kind in EventKind]: fc.Arbitrary<EventPayloads[Kind]> } = {
  [EventKind.RequestAdmitted]: fc.record({ template: name, model: name, promptTokens: tokens, maxTokens: tokens, limit: millis, idempotent: fc.boolean(), urgency: fc.nat(9) }),
  [EventKind.RequestRefused]: fc.record({ code, ran, retryAfter: fc.option(millis) }),
  [EventKind.RequestFinished]: fc.record({ code, ran, generated: tokens, duration: millis, firstToken: fc.option(millis), attempts: fc.nat(9) }),
  [EventKind.KeyClaimed]: fc.record({ state: name, duration: millis }),
  [EventKind.OrderSought]: fc.record({ dispatcher: name, excluded: fc.array(name), remaining: millis }),
  [EventKind.OrderQueued]: fc.record({ entry: name, ahead: fc.nat(9), promptTokens: tokens }),
  [EventKind.OrderGranted]: fc.record({ entry: name, queueDelay: millis, validFor: millis, priority: fc.nat(9), group: fc.array(name) }),
  [EventKind.OrderRefused]: fc.record({ entry: name, code, retryAfter: millis }),
  [EventKind.DispatcherLost]: fc.record({ dispatcher: name }),
  [EventKind.AttemptSent]: fc.record({ dispatcher: name, mode, generated: tokens }),
  [EventKind.FirstToken]: fc.record({ elapsed: millis }),
  [EventKind.AttemptBroken]: fc.record({ started: ran, generated: tokens }),
  [EventKind.AttemptCompleted]: fc.record({ generated: tokens }),
  [EventKind.AttemptResumed]: fc.record({ offset: tokens }),
  [EventKind.AttemptContinued]: fc.record({ offset: tokens, previous: fc.option(name) }),
  [EventKind.AttemptCancelled]: fc.record({ generated: tokens }),
  [EventKind.AttemptRecalled]: fc.record({ dispatcher: name }),
  [EventKind.AnswerDropped]: fc.record({ cause: fc.constantFrom(...Object.values(DropCause)), offset: fc.option(tokens) }),
  [EventKind.GrantLapsed]: fc.record({ entry: name }),
  [EventKind.OrphanFreed]: fc.record({ heldTokens: fc.option(tokens) }),
  [EventKind.RunnerTakenOver]: fc.record({ previous: fc.option(name) }),
  [EventKind.RunnerChanged]: fc.record({ from: fc.option(runnerState), to: runnerState }),
  [EventKind.MemberChanged]: fc.record({ member: name, from: fc.option(memberState), to: memberState, incarnation: fc.nat() }),
  [EventKind.ProcessPaused]: fc.record({ gap: millis }),
  [EventKind.ClockDistrusted]: fc.record({ member: name, ahead: millis }),
  [EventKind.ConfigurationInstalled]: fc.record({ revision: fencing, previous: fc.option(fencing), source: name }),
  [EventKind.LeaseWon]: fc.record({ lease: name, fencing }),
  [EventKind.LeaseLost]: fc.record({ lease: name, fencing }),
  [EventKind.EngineOrdered]: fc.record({ order: name, fencing, accepted: fc.boolean() }),
  [EventKind.PlatformChanged]: fc.record({ service: name, available: fc.boolean() }),
  [EventKind.PartFailed]: fc.record({ part: name, during: name }),
  [EventKind.NodeStarted]: fc.record({ failureDomain: name, version: name }),
  [EventKind.NodeStopping]: fc.record({ inProgress: fc.nat() }),
  [EventKind.NodeStopped]: fc.constant({})
}

const REASON = fc.oneof(fc.lorem({ maxCount: 6 }), fc.string(), fc.constantFrom('', '<script>alert(1)</script>', '"><img src=x onerror=alert(1)>', '&lt;'))

const bareEvent = (requests: readonly string[]) => fc.constantFrom(...Object.values(EventKind)).chain((kind) => fc.record({
  kind: fc.constant(kind),
  node: fc.constantFrom('n1', 'n2', 'n3'),
  request: requests.length === 0 ? fc.constant(undefined) : fc.constantFrom(...requests),
  attempt: fc.option(name, { nil: undefined }),
  organisation: fc.option(name, { nil: undefined }),
  runner: fc.option(name, { nil: undefined }),
  reason: REASON,
  payload: PAYLOADS[kind] as fc.Arbitrary<object>,
  elapsed: fc.nat(10_000)
}))

/**
 * Generates lists of events with increasing stamps.
 *
 * @param requests - ids of requests from which each event takes one; empty for events without a request
 * @param maxLength - greatest number of events
 * @returns the generator
 */
export const eventsOf = (requests: readonly string[], maxLength: number): fc.Arbitrary<TimeLineEvent[]> =>
  fc.array(bareEvent(requests), { maxLength }).map((list) => {
    let time = 1_800_000_000_000
    const clock = new HybridClock(() => time)
    return list.map(({ elapsed, ...event }) => {
      time += elapsed
      return { ...event, stamp: clock.now() } as unknown as TimeLineEvent
    })
  })
