import test from 'ava'

import { EngineTimingModel, FleetAssignments, LeastOutstanding, Readiness } from '../src/index.js'
import type { BackendServer, FailureDomain, NodeId, RunnerId } from '../src/index.js'

const NODE = 'n0' as NodeId
const FIGURES = { slots: 1, memory: 0, stepsPerPass: 0, step: 0, stepPerWriter: 0, stepPerThousandContext: 0, readTokensPerMs: 1, readPerMillionPairs: 0, usualAnswer: 0 }

const server = (index: number): BackendServer =>
  ({ id: `s${index}` as RunnerId, service: 'app', address: `10.0.0.${index}:80`, failureDomain: 'd0' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: null })

/** Guards against ties that are always broken the same way: of three idle servers one got no request at all. */
test('steady requests one after the other: equal servers get equally many', (t) => {
  const policy = new LeastOutstanding(NODE)
  const loads = new FleetAssignments(NODE).serverLoads(0)
  const candidates = [0, 1, 2].map((index) => ({ server: server(index), slowdown: 1 }))
  const counts = new Map<RunnerId, number>()
  for (let index = 0; index < 1_000; index += 1) {
    const choice = policy.choose({ size: { prompt: 0, mostAnswer: 0 }, objective: 100, timeLeft: 100, pauseObjective: null, candidates, timing: new EngineTimingModel(FIGURES), loads, arrivalsPerSecond: 0, now: 0 })
    const id = choice!.server.id
    counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  for (const { server: { id } } of candidates) t.true(Math.abs((counts.get(id) ?? 0) - 1_000 / 3) <= 1_000 / 30, `${id}: ${counts.get(id)}`)
})
