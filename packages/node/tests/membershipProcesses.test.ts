import { setTimeout as delay } from 'node:timers/promises'

import test from 'ava'

import { startProcesses, stopProcesses, untilViews } from './memberProcesses.js'
import type { MemberProcess } from './memberProcesses.js'
import type { MemberView } from './memberDaemon.js'

const SIZE = 9

const hasAcceptingMembers = (count: number) => (view: MemberView): boolean => view.membersAcceptingWork.length === count

const startFormedFleet = async (): Promise<MemberProcess[]> => {
  const processes = await startProcesses(SIZE)
  await untilViews(processes, hasAcceptingMembers(SIZE))
  return processes
}

const namesDeclaredUnreachable = async (processes: readonly MemberProcess[]): Promise<string[]> =>
  (await Promise.all(processes.map((process) => process.view()))).flatMap(({ declaredUnreachable: declared }) => declared.map(({ node }) => node))

test.serial('a killed process receives no new work and stays listed as unreachable', async (t) => {
  const processes = await startFormedFleet()
  t.teardown(() => stopProcesses(processes))
  const victim = processes[4] as MemberProcess
  const rest = processes.filter((process) => process !== victim)
  victim.signal('SIGKILL')
  await untilViews(rest, (view) => view.membersAcceptingWork.length === SIZE - 1 && !view.membersAcceptingWork.includes(victim.node))
  await untilViews(rest, (view) => view.members.find(({ node }) => node === victim.node)?.state === 'unreachable')
  t.pass()
})

for (const length of [2_000, 10_000]) {
  test.serial(`a process that is paused for ${length / 1_000} s causes no other process to be declared unreachable and accepts work again`, async (t) => {
    const processes = await startFormedFleet()
    t.teardown(() => stopProcesses(processes))
    const paused = processes[5] as MemberProcess
    paused.signal('SIGSTOP')
    await delay(length)
    paused.signal('SIGCONT')
    await untilViews(processes, hasAcceptingMembers(SIZE))
    await delay(2_000)
    t.deepEqual([...new Set(await namesDeclaredUnreachable(processes))].filter((node) => node !== paused.node), [])
    t.true((await paused.view()).selfDistrustCount > 0)
    await untilViews(processes, hasAcceptingMembers(SIZE))
  })
}

test.serial('an isolated failure domain keeps working, and both sides see each other again after reconnection', async (t) => {
  const processes = await startFormedFleet()
  t.teardown(() => stopProcesses(processes))
  const inside = processes.filter(({ failureDomain }) => failureDomain === 'fd1')
  const outside = processes.filter(({ failureDomain }) => failureDomain !== 'fd1')
  for (const process of inside) await process.ask({ type: 'cut', ports: outside.map(({ port }) => port) })
  await untilViews(inside, hasAcceptingMembers(inside.length))
  await untilViews(outside, hasAcceptingMembers(outside.length))
  await untilViews(processes, ({ members }) => members.length === SIZE)
  for (const process of inside) await process.ask({ type: 'cut', ports: [] })
  await untilViews(processes, hasAcceptingMembers(SIZE))
  t.pass()
})

test.serial('every process learns of a leaving process and of a leaving backend server', async (t) => {
  const processes = await startFormedFleet()
  t.teardown(() => stopProcesses(processes))
  const [first, second] = processes as [MemberProcess, MemberProcess]
  await second.ask({ type: 'leave' })
  await first.ask({ type: 'leaving_runner', runner: 'runner-7' })
  await untilViews(processes, (view) => !view.membersAcceptingWork.includes(second.node) && view.leavingRunners.includes('runner-7'))
  t.is((await first.view()).members.length, SIZE)
})
