/** Builders of ids, orders, reports and requests for the tests. */
import type { AttemptId, DispatchOrder, FailureDomain, NodeId, OrganisationId, RequestId, RequestSpec, RunnerId, RunnerReport } from '../src/index.js'

export const DOMAIN = 'north' as FailureDomain
export const node = (name: string): NodeId => name as NodeId
export const runner = (name: string): RunnerId => name as RunnerId
export const attempt = (name: string): AttemptId => name as AttemptId

export const order = (name: string, changes: Partial<DispatchOrder> = {}): DispatchOrder => ({
  attempt: attempt(name),
  request: name.split('.')[0] as RequestId,
  entry: node('entry'),
  organisation: 'org' as OrganisationId,
  model: 'm',
  version: null,
  adapter: null,
  urgency: 1,
  promptTokens: 1_000,
  maxTokens: 16,
  prefix: [],
  remaining: 30_000,
  excluded: [],
  ...changes
})

export const report = (changes: Partial<RunnerReport> = {}): RunnerReport => ({
  model: 'm',
  version: '1',
  adapters: [],
  loading: false,
  totalTokens: 400_000,
  slots: 8,
  blockTokens: 256,
  chunkTokens: 2_048,
  loadAge: 0,
  running: 0,
  waiting: 0,
  freeTokens: 400_000,
  pendingPrefillTokens: 0,
  prefillRate: 80_000,
  decodeRate: 100,
  held: [],
  ...changes
})

export const spec = (changes: Partial<RequestSpec> = {}): RequestSpec => ({
  id: 'r' as RequestId,
  organisation: 'org' as OrganisationId,
  template: 't',
  model: 'm',
  version: null,
  adapter: null,
  urgency: 1,
  promptTokens: 1_000,
  maxTokens: 8,
  prefix: [],
  idempotent: true,
  admittedAt: 0,
  deadline: 10_000,
  ...changes
})
