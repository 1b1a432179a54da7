import test from 'ava'

import { DEFAULT_FLEET_PLAN, Fleet } from '../src/index.js'
import type { Placed } from '../src/index.js'
import { call, complete, executions, expectedText, heldTokens, order, streamedText, until } from './calls.js'
import type { CallResult } from './calls.js'

const MEMORY_LIMIT_MS = 10_000
const TAKE_OVER_LIMIT_MS = 3_000
const LONG_ANSWER = 400
/** A pause of 6 s and the time to find out what became of the order. */
const PAUSED_ORDER_LIMIT_MS = 15_000

const fleet = new Fleet({ ...DEFAULT_FLEET_PLAN, nodes: 6, engineArgs: { 'on-disconnect': 'hold' }, configurationFromFiles: false })

test.before(async () => { await fleet.start() })
test.after.always(async () => { await fleet.dispose() })

const running = (): Placed[] => fleet.nodes.filter(({ process }) => process.isRunning)

const caller = (node: Placed): string => node.process.address('caller')

const pause = async (ms: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, ms))

/** Starts long answers at each of some nodes. */
const startAnswers = (nodes: readonly Placed[], name: string): Array<{ prompt: string, result: Promise<CallResult | null> }> =>
  nodes.flatMap((node) => [0, 1, 2].map((turn) => {
    const prompt = `${name} ${node.name} ${turn}`
    return { prompt, result: complete(caller(node), prompt, LONG_ANSWER).catch(() => null) }
  }))

const isWhole = (got: CallResult | null, prompt: string): boolean => got !== null && streamedText(got) === expectedText(prompt, LONG_ANSWER)

/** The end of an answer, for the message of a failed check. */
const endOf = (got: CallResult | null): string => got === null ? 'connection lost' : `after ${Math.round(got.elapsed)} ms: ${got.text.slice(-300)}`

const replaceNode = async (name: string): Promise<void> => {
  const node = await fleet.startNode(name)
  await fleet.publishVms()
  await until('ready', 10_000, async () => (await call(caller(node), '/readyz', { method: 'GET' })).status === 200)
}

const memoryReturned = async (): Promise<number> =>
  await until('memory returned', MEMORY_LIMIT_MS, async () => await heldTokens(fleet.engines) === 0)

test.serial('an engine killed in the middle of answers: every answer is whole', async (t) => {
  const answers = startAnswers(running(), 'engine killed')
  await pause(500)
  const victim = fleet.engines[0]!
  await victim.process.kill()
  for (const { prompt, result } of answers) {
    const got = await result
    t.true(isWhole(got, prompt), endOf(got))
  }
  t.true(await memoryReturned() <= MEMORY_LIMIT_MS)
})

test.serial('a node killed: the answers of the others are whole, its runners are granted again, memory returns', async (t) => {
  const victim = running()[1]!
  const others = running().filter((node) => node !== victim)
  startAnswers([victim], 'caller of the killed')
  const answers = startAnswers(others, 'node killed')
  await pause(500)
  await victim.process.kill()
  const near = others.find((node) => node.failureDomain === victim.failureDomain)!
  const after = await until('granted again', TAKE_OVER_LIMIT_MS, async () => await servesWholeDomain(near))
  t.true(after <= TAKE_OVER_LIMIT_MS)
  for (const { prompt, result } of answers) {
    const got = await result
    t.true(isWhole(got, prompt), endOf(got))
  }
  t.true(await memoryReturned() <= MEMORY_LIMIT_MS)
  await replaceNode('node-7')
})

/** Whether the node dispatches for every live engine of its failure domain. */
const servesWholeDomain = async (node: Placed): Promise<boolean> => {
  const answer = await call(node.process.address('admin'), '/admin/runners', { method: 'GET' })
  const { runners } = JSON.parse(answer.text) as { runners: Array<{ runner: string, state: string }> }
  const live = fleet.engines.filter((engine) => engine.failureDomain === node.failureDomain && engine.process.isRunning)
  return live.every(({ name }) => runners.some((runner) => runner.runner === name && runner.state === 'ready'))
}

test.serial('a node paused past every timeout: no other answer suffers, its own end truthfully, memory returns', async (t) => {
  const victim = running()[0]!
  const others = running().filter((node) => node !== victim)
  const own = startAnswers([victim], 'paused own')
  const answers = startAnswers(others, 'paused others')
  await pause(300)
  victim.process.pause()
  for (const { prompt, result } of answers) {
    const got = await result
    t.true(isWhole(got, prompt), endOf(got))
  }
  await pause(8_000)
  victim.process.resume()
  for (const { prompt, result } of own) {
    const got = await result
    t.true(isWhole(got, prompt) || (got?.error?.number ?? 0) >= 1_000, endOf(got))
  }
  t.true(await memoryReturned() <= MEMORY_LIMIT_MS)
})

test.serial('orders whose node is killed or paused run at most once', async (t) => {
  await Promise.all(fleet.plains.map(async ({ process }) => await fleet.setFaults(process, { slowMs: 800 })))
  const [first, second, third] = running()
  const keys = [0, 1, 2, 3].map((turn) => `killed-${turn}`)
  const before = keys.map(async (key) => await order(caller(first!), key).catch(() => null))
  const paused = keys.map(async (key) => await order(caller(second!), `p-${key}`).catch(() => null))
  await pause(300)
  await first!.process.kill()
  second!.process.pause()
  const during = await Promise.all(keys.flatMap((key) => [order(caller(third!), key), order(caller(third!), `p-${key}`)]))
  await pause(6_000)
  second!.process.resume()
  const late = await Promise.all(paused)
  await Promise.all(before)
  await Promise.all(fleet.plains.map(async ({ process }) => await fleet.setFaults(process, { slowMs: 0 })))
  for (const key of keys) {
    t.true(await executions(fleet.plains, key) <= 1, key)
    t.true(await executions(fleet.plains, `p-${key}`) <= 1, `p-${key}`)
  }
  for (const result of during) t.true(result.elapsed < PAUSED_ORDER_LIMIT_MS, endOf(result))
  for (const result of late) t.true((result?.elapsed ?? 0) < PAUSED_ORDER_LIMIT_MS, endOf(result))
  for (const result of during) t.true(result.status === 200 || (result.error?.number ?? 0) >= 1_000, result.text)
  await replaceNode('node-8')
})

test.serial('the key-value service down: completions go on, keyed orders are refused at once as not run', async (t) => {
  await fleet.setFaults(fleet.platform.keyValue, { downMs: 6_000 })
  const node = running()[0]!
  const answer = await complete(caller(node), 'in the outage', 8)
  t.is(streamedText(answer), expectedText('in the outage', 8))
  const refused = await order(caller(node), 'outage')
  t.is(refused.error?.code, 'store_unavailable', refused.text)
  t.is(refused.error?.ran, 'no')
  t.truthy(refused.headers['retry-after'])
  t.true(refused.elapsed < 5_000, `${refused.elapsed} ms`)
  t.is(await executions(fleet.plains, 'outage'), 0)
  await until('orders again', 20_000, async () => (await order(caller(node), 'outage')).status === 200)
  t.is(await executions(fleet.plains, 'outage'), 1)
})

test.serial('claims whose answer is lost after the write run once', async (t) => {
  await fleet.setFaults(fleet.platform.keyValue, { loseAnswers: 4 })
  const keys = [0, 1, 2, 3, 4, 5].map((turn) => `lost-claim-${turn}`)
  const results = await Promise.all(keys.map(async (key, turn) => await order(caller(running()[turn % running().length]!), key)))
  await fleet.setFaults(fleet.platform.keyValue, { loseAnswers: 0 })
  for (const [turn, result] of results.entries()) {
    const count = await executions(fleet.plains, keys[turn]!)
    if (result.status === 200) t.is(count, 1)
    else t.is(count, result.error?.ran === 'no' ? 0 : count <= 1 ? count : 1, result.text)
  }
})

test.serial('a planned stop cuts off no answer in progress', async (t) => {
  const victim = running()[0]!
  const answers = startAnswers(running(), 'planned stop')
  await pause(200)
  const stopped = victim.process.stop(30_000)
  for (const { prompt, result } of answers) {
    const got = await result
    t.true(isWhole(got, prompt), endOf(got))
  }
  t.is(await stopped, 0)
})

test.serial('a leaving engine gets no new work after 3 s and its answers finish', async (t) => {
  const victim = fleet.engines.find(({ process }) => process.isRunning)!
  const answers = startAnswers(running(), 'engine leaves')
  await fleet.changeVm(victim.name, 'leaving')
  await pause(3_500)
  const before = await ledgerRuns(victim)
  await Promise.all(running().map(async (node) => await complete(caller(node), `after ${node.name}`, 4)))
  t.is(await ledgerRuns(victim), before)
  for (const { prompt, result } of answers) {
    const got = await result
    t.true(isWhole(got, prompt), endOf(got))
  }
})

const ledgerRuns = async ({ process }: Placed): Promise<number> => {
  const answer = await call(process.address('control'), '/ledger', { method: 'GET' })
  return (JSON.parse(answer.text) as { runs: unknown[] }).runs.length
}
