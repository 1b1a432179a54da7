/** Guards against a fleet in which every node hears every other one, and against a group without a scheduler or a store watcher. */
import test from 'ava'
import fc from 'fast-check'

import { CANDIDATE_SILENCE, CONTACT_COUNT, groupOf, GroupLoads, MAX_GROUP_ENGINES, PROBE_PERIOD, rankSchedulers, SchedulerDirectory, START_GRACE, STORE_WATCHERS, WARM_UP } from '../src/index.js'
import type { CandidateState, FailureDomain, Millis, NodeId, SchedulerCandidate } from '../src/index.js'
import { server } from './forwardingFixtures.js'

const SMALL_VM = 0.324
const LARGE_VM = 1.35

const candidate = (index: number, changes: Partial<SchedulerCandidate> = {}): SchedulerCandidate =>
  ({ node: `edge-${index}` as NodeId, address: `10.0.0.${index}:1`, failureDomain: `d${index % 5}` as FailureDomain, processor: SMALL_VM, ...changes })

const fleet = (size: number): SchedulerCandidate[] => Array.from({ length: size }, (_, index) => candidate(index))

const STATE: CandidateState = { uptime: WARM_UP, isStopping: false, hasLostStore: false, configurationVersion: 1, serversRevision: 1 }

/** Directory of a node that knows all nodes and has heard the given ones. */
const directoryOf = (self: SchedulerCandidate, all: readonly SchedulerCandidate[], heard: readonly SchedulerCandidate[], now: Millis, state: CandidateState = STATE): SchedulerDirectory => {
  const directory = new SchedulerDirectory(self, now - WARM_UP)
  for (const other of all) directory.add(other)
  for (const other of all) if (other !== self) directory.reported(other.node, now - CANDIDATE_SILENCE - 1)
  for (const other of heard) {
    directory.heard(other.node, state, now - WARM_UP)
    directory.heard(other.node, state, now)
  }
  return directory
}

test('the strongest VMs schedule, and a node that leaves does not change the order of the others', (t) => {
  const nodes = [...fleet(36), candidate(36, { processor: LARGE_VM }), candidate(37, { processor: LARGE_VM })]
  t.deepEqual(rankSchedulers(nodes).slice(0, 2).map(({ node }) => node).sort(), ['edge-36', 'edge-37'] as NodeId[])
  fc.assert(fc.property(fc.integer({ min: 2, max: 60 }), fc.nat(59), (size, leaving) => {
    const ranked = rankSchedulers(fleet(size))
    const without = rankSchedulers(fleet(size).filter((_, index) => index !== leaving % size))
    return ranked.filter(({ node }) => node !== `edge-${leaving % size}`).every(({ node }, index) => node === without[index]?.node)
  }), { seed: 31, numRuns: 200 })
})

test('all nodes that hear the same candidates have the same scheduler', (t) => {
  const nodes = fleet(40)
  const schedulers = nodes.map((self) => directoryOf(self, nodes, nodes, 10_000).scheduler(10_000).node)
  t.is(new Set(schedulers).size, 1)
})

test('each part of a partitioned fleet has one scheduler and store watchers of its own', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 40 }), (one, other) => {
    const nodes = fleet(one + other)
    return [nodes.slice(0, one), nodes.slice(one)].every((part) => {
      const directories = part.map((self) => directoryOf(self, nodes, part.filter((peer) => peer !== self), 10_000))
      const watchers = directories.filter((directory) => directory.isStoreWatcher(10_000)).length
      return new Set(directories.map((directory) => directory.scheduler(10_000).node)).size === 1 && watchers === Math.min(part.length, STORE_WATCHERS)
    })
  }), { seed: 32, numRuns: 100 })
  t.pass()
})

test('a node without peers watches the store, and any node does if all others have lost it', (t) => {
  t.true(new SchedulerDirectory(candidate(1), 0).isStoreWatcher(START_GRACE))
  const nodes = fleet(20)
  const last = rankSchedulers(nodes).at(-1)!
  t.false(directoryOf(last, nodes, nodes, 10_000).isStoreWatcher(10_000))
  t.true(directoryOf(last, nodes, nodes, 10_000, { ...STATE, hasLostStore: true }).isStoreWatcher(10_000))
})

test('pattern: the store turns away the nodes that watch it, and the next ones watch it in their place', (t) => {
  const nodes = fleet(20)
  const ranked = rankSchedulers(nodes)
  for (let lost = 0; lost <= 6; lost += 1) {
    const watchers = ranked.filter((self) => {
      const directory = directoryOf(self, nodes, [], 10_000)
      for (const contact of ranked) directory.heard(contact.node, null, 10_000)
      // Each node learns only the states of the candidates that it reports to.
      for (let round = 0; round < 20; round += 1) {
        for (const { node } of directory.contacts(10_000)) directory.heard(node, { ...STATE, hasLostStore: ranked.findIndex((other) => other.node === node) < lost }, 10_000)
      }
      return directory.isStoreWatcher(10_000)
    })
    t.true(watchers.some((watcher) => ranked.indexOf(watcher) >= lost), `${lost} lost`)
    t.true(watchers.filter((watcher) => ranked.indexOf(watcher) >= lost).length <= STORE_WATCHERS)
  }
})

test('a scheduler that is silent, does not answer or stops is replaced, and schedules again when it is heard', (t) => {
  const nodes = fleet(10)
  const ranked = rankSchedulers(nodes)
  const [first, second] = ranked
  const self = ranked.at(-1)!
  const directory = directoryOf(self, nodes, nodes, 10_000)
  t.is(directory.scheduler(10_000).node, first!.node)
  directory.unanswered(first!.node)
  t.is(directory.scheduler(10_000).node, second!.node)
  directory.heard(first!.node, null, 10_010)
  t.is(directory.scheduler(10_010).node, first!.node)
  directory.heard(first!.node, { ...STATE, isStopping: true }, 10_020)
  t.is(directory.scheduler(10_020).node, second!.node)
  t.is(directory.scheduler(10_000 + CANDIDATE_SILENCE + 100).node, self.node)
})

test('a process that has just started does not schedule while another candidate has run for longer', (t) => {
  const nodes = fleet(6)
  const [first, second] = rankSchedulers(nodes)
  const directory = directoryOf(rankSchedulers(nodes).at(-1)!, nodes, nodes, 10_000)
  directory.heard(first!.node, { ...STATE, uptime: 0 }, 10_000)
  t.is(directory.scheduler(10_000).node, second!.node)
  directory.heard(first!.node, { ...STATE, uptime: WARM_UP }, 10_000 + WARM_UP)
  t.is(directory.scheduler(10_000 + WARM_UP).node, first!.node)
})

test('pattern: after a partition the former scheduler is passed over until it has received reports again', (t) => {
  const nodes = fleet(6)
  const ranked = rankSchedulers(nodes)
  const [first, second] = ranked
  const directory = directoryOf(ranked.at(-1)!, nodes, nodes, 10_000)
  const hear = (node: SchedulerCandidate, from: Millis, to: Millis): void => {
    for (let at = from; at <= to; at += 500) directory.heard(node.node, STATE, at)
  }
  hear(second!, 10_500, 20_000)
  t.is(directory.scheduler(20_000).node, second!.node)
  directory.heard(first!.node, STATE, 20_000)
  t.is(directory.scheduler(20_000).node, second!.node)
  hear(first!, 20_500, 21_500)
  hear(second!, 20_500, 21_500)
  t.is(directory.scheduler(21_500).node, first!.node)
})

test('pattern: the reports that a node receives do not grow with the fleet', (t) => {
  const received = [30, 100, 300].map((size) => {
    const nodes = fleet(size)
    const sent = nodes.map((self) => directoryOf(self, nodes, nodes, 10_000).contacts(10_000).length)
    return sent.reduce((sum, count) => sum + count, 0) / size
  })
  t.true(received.every((count) => count <= CONTACT_COUNT + STORE_WATCHERS))
})

test('a silent candidate is replaced as a contact, and gets a report at times', (t) => {
  const nodes = fleet(10)
  const [first] = rankSchedulers(nodes)
  const self = rankSchedulers(nodes).at(-1)!
  const directory = directoryOf(self, nodes, nodes.filter((node) => node !== first), 10_000)
  t.is(directory.contacts(10_000).length, CONTACT_COUNT)
  t.false(directory.contacts(10_000).some(({ node }) => node === first!.node))
  t.true(directory.contacts(10_000 + PROBE_PERIOD).some(({ node }) => node === first!.node))
})

test('each failure domain of a large fleet is a group of its own, and a small fleet is one group', (t) => {
  const domain = 'd1' as FailureDomain
  const engines = (count: number): ReturnType<typeof server>[] => Array.from({ length: count }, (_, index) => server(`e${index}`, { failureDomain: `d${index % 5}` as FailureDomain }))
  t.is(groupOf(engines(MAX_GROUP_ENGINES), domain).domain, null)
  t.is(groupOf(engines(MAX_GROUP_ENGINES + 1), domain).domain, domain)
  t.is(groupOf(engines(MAX_GROUP_ENGINES + 1), 'without engines' as FailureDomain).domain, null)
})

test('schedulers of the other groups are known only if the fleet is divided', (t) => {
  const nodes = fleet(20)
  const directory = directoryOf(nodes[0]!, nodes, nodes, 10_000)
  t.deepEqual(directory.otherGroups(2), [])
  directory.setGroup({ domain: 'd0' as FailureDomain })
  t.is(directory.otherGroups(2).length, 8)
  t.true(directory.scheduler(10_000).failureDomain === 'd0')
})

test('pattern: a group that is full passes requests on to the least loaded group, and to none if all are full', (t) => {
  const loads = new GroupLoads()
  const load = (domain: string, requests: number, meanPendingPrefill: number): void =>
    loads.record({ domain: domain as FailureDomain, address: domain, services: [{ service: 's', slots: 100, requests, meanPendingPrefill }] }, 0)
  load('d1', 90, 500)
  t.is(loads.findRelief('s', 1_000, 0), null)
  load('d2', 30, 100)
  load('d3', 20, 50)
  t.is(loads.findRelief('s', 1_000, 0), 'd3')
  t.is(loads.findRelief('s', 20, 0), null)
  t.is(loads.findRelief('other', 1_000, 0), null)
  t.is(loads.findRelief('s', 1_000, 10_000), null)
})

/** Interval at which nodes report, and the time after which a live candidate answers. */
const REPORT_PERIOD: Millis = 600
const ANSWER_TIME: Millis = 5

/** Time within which a change of the store has to be in force on all nodes, less what it takes to list, announce and fetch it. */
const TAKEOVER_BOUND: Millis = 1_500

/** Directory of a node that reports from 0 on; the given candidates answer the first report only. */
const reportingDirectory = (self: SchedulerCandidate, all: readonly SchedulerCandidate[], ended: readonly SchedulerCandidate[], until: Millis): SchedulerDirectory => {
  const directory = directoryOf(self, all, all, 0)
  for (let at = 0; at <= until; at += REPORT_PERIOD) {
    for (const { node } of directory.contacts(at)) {
      directory.reported(node, at)
      if (at === 0 || !ended.some((other) => other.node === node)) directory.heard(node, STATE, at + ANSWER_TIME)
    }
  }
  return directory
}

// Guards against incident DRAIN of issue 26: for 2.1 s after both store watchers had ended, frozen or been cut off, no other node watched.
test('both store watchers end at the same moment, and the next candidate watches in time', (t) => {
  const nodes = fleet(6)
  const ranked = rankSchedulers(nodes)
  const directory = reportingDirectory(ranked[STORE_WATCHERS]!, nodes, ranked.slice(0, STORE_WATCHERS), TAKEOVER_BOUND)
  t.true(directory.isStoreWatcher(TAKEOVER_BOUND))
})

test('a single lost report does not make a further node watch the store', (t) => {
  const nodes = fleet(6)
  const [first, second, third] = rankSchedulers(nodes)
  const directory = reportingDirectory(third!, nodes, [], 0)
  for (const watcher of [first!, second!]) directory.reported(watcher.node, REPORT_PERIOD)
  t.false(directory.isStoreWatcher(2 * REPORT_PERIOD))
})

// Guards against incident DRAIN of issue 26: a node that had lost the store counted as a watcher again as soon as it left a query unanswered.
test('nodes that have lost the store are no watchers while they are not heard, and are again once they have regained it', (t) => {
  const nodes = fleet(6)
  const [first, second, third] = rankSchedulers(nodes)
  const directory = directoryOf(third!, nodes, nodes, 10_000)
  t.false(directory.isStoreWatcher(10_000))
  for (const lost of [first!, second!]) {
    directory.heard(lost.node, { ...STATE, hasLostStore: true }, 10_100)
    directory.unanswered(lost.node)
  }
  t.true(directory.isStoreWatcher(10_100))
  t.true(directory.isStoreWatcher(10_100 + CANDIDATE_SILENCE))
  for (const regained of [first!, second!]) directory.heard(regained.node, STATE, 20_000)
  t.false(directory.isStoreWatcher(20_000))
})
