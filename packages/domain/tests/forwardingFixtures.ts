/** Fixtures for the tests of the forwarding folder: routes, backend servers, engines and a simulated fleet. */
import { CallKind, EngineTimingModel, FleetAssignments, LengthAwarePlacement, Readiness } from '../src/index.js'
import type { BackendServer, PlacementChoice, EngineFigures, FailureDomain, NodeId, PlacementPolicy, PlacementRequest, Route, RunnerId, Assignment } from '../src/index.js'

/** Figures that the users' engines publish. */
export const FIGURES: EngineFigures = {
  slots: 11,
  memory: 450_000,
  stepsPerPass: 46,
  step: 0.925,
  stepPerWriter: 0.007,
  stepPerThousandContext: 0.00254,
  readTokensPerMs: 256,
  readPerMillionPairs: 0.0917,
  usualAnswer: 1_540
}

export const TIMING = new EngineTimingModel(FIGURES)

export const ROUTE: Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/a/',
  kind: CallKind.Stream,
  resumable: true,
  timeout: 10_000,
  objective: 300,
  pauseObjective: 200,
  priority: 1,
  maxAttempts: 2,
  isPublic: false,
  services: [{ service: 's', weight: 1 }]
}

export const server = (id: string, changes: Partial<BackendServer> = {}): BackendServer => ({
  id: id as RunnerId,
  service: 's',
  address: '127.0.0.1:1',
  failureDomain: 'd1' as FailureDomain,
  slots: FIGURES.slots,
  readiness: Readiness.Ready,
  startedAt: null,
  ...changes
})

export const engines = (count: number): BackendServer[] => Array.from({ length: count }, (_, index) => server(`e${index}`))

/** Prompt and answer lengths and objectives of the users' three kinds of request. */
export const SHORT = { prompt: 5_000, answer: 1_600, objective: 300, pause: 200 }
export const MIDDLE = { prompt: 45_000, answer: 960, objective: 1_500, pause: 500 }
export const LONG = { prompt: 210_000, answer: 800, objective: 3_000, pause: 800 }
export type RequestSize = typeof SHORT

/** A fleet of engines from the point of view of one node, with the placement policy under test. */
export class TestFleet {
  readonly assignments = new FleetAssignments('n1' as NodeId)

  constructor (readonly servers: readonly BackendServer[], readonly policy: PlacementPolicy = new LengthAwarePlacement('n1' as NodeId)) {}

  choose (size: RequestSize, now: number, changes: Partial<PlacementRequest> = {}): PlacementChoice | null {
    return this.policy.choose({
      size: { prompt: size.prompt, mostAnswer: size.answer },
      objective: size.objective,
      timeLeft: size.objective,
      pauseObjective: size.pause,
      candidates: this.servers.map((one) => ({ server: one, slowdown: 1 })),
      timing: TIMING,
      loads: this.assignments.serverLoads(now),
      arrivalsPerSecond: 0,
      now,
      ...changes
    })
  }

  /** Chooses engines for a request and records the assignment. */
  place (size: RequestSize, now: number): { choice: PlacementChoice, assignment: Assignment } {
    const choice = this.choose(size, now)
    if (choice === null) throw new Error('no engine can accept the request')
    return { choice, assignment: this.assign(size, now, choice.server.id, choice.helpers.map(({ id }) => id), choice.isDeferred) }
  }

  assign (size: RequestSize, now: number, engine: string, helpers: readonly RunnerId[] = [], isDeferred = false): Assignment {
    return this.assignments.start({
      server: engine as RunnerId, helpers, reservations: [], prompt: size.prompt, answer: size.answer, prefillTime: TIMING.prefillTime(size.prompt, helpers.length + 1), sentAt: now, isPrefilled: false, pauseObjective: size.pause, dueAt: now + size.objective, isDeferred
    })
  }

  /** Records a request whose answer is being decoded. */
  assignDecoding (size: RequestSize, now: number, engine: string): Assignment {
    const assignment = this.assign(size, now, engine)
    this.assignments.markPrefilled(assignment, now)
    return assignment
  }
}
