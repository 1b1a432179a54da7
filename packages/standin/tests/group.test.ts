import test from 'ava'

import { DEFAULT_FLEET_PLAN, Fleet } from '../src/index.js'
import { complete, expectedText, heldTokens, streamedText, until } from './calls.js'

const MEMORY_TOKENS = 40_960
const BYTES_PER_TOKEN = 4
const MEMORY_LIMIT_MS = 10_000

const fleet = new Fleet({
  ...DEFAULT_FLEET_PLAN,
  failureDomains: ['bayangol'],
  engines: 4,
  engineArgs: { 'memory-tokens': MEMORY_TOKENS, 'on-disconnect': 'hold', 'new-token-ms': 0.02 },
  configurationFromFiles: false
})

test.before(async () => { await fleet.start() })
test.after.always(async () => { await fleet.dispose() })

/** A prompt of 2.5 times one engine's memory. */
const ledgerPrompt = (name: string): string => `${name} `.padEnd(2.5 * MEMORY_TOKENS * BYTES_PER_TOKEN, 'receipt ')

const memoryReturned = async (): Promise<number> =>
  await until('memory returned', MEMORY_LIMIT_MS, async () => await heldTokens(fleet.engines) === 0)

test.serial('a prompt of 2.5 times one engine\'s memory is answered whole', async (t) => {
  const prompt = ledgerPrompt('first')
  const result = await complete(fleet.callerAddresses[0]!, prompt, 32)
  t.is(streamedText(result), expectedText(prompt, 32), result.text.slice(-300))
  t.true(await memoryReturned() <= MEMORY_LIMIT_MS)
})

test.serial('many groups wanted at once: each is answered whole or refused as not run', async (t) => {
  const prompts = [0, 1, 2, 3, 4, 5].map((turn) => ledgerPrompt(`many ${turn}`))
  const results = await Promise.all(prompts.map(async (prompt, turn) => await complete(fleet.callerAddresses[turn % 3]!, prompt, 16)))
  const whole = results.filter((result, turn) => streamedText(result) === expectedText(prompts[turn]!, 16))
  const refused = results.filter((result) => result.error?.ran === 'no')
  t.is(whole.length + refused.length, prompts.length, results.map((result) => result.text.slice(-200)).join('\n'))
  t.true(whole.length >= 2, `${whole.length} answered`)
  t.true(await memoryReturned() <= MEMORY_LIMIT_MS)
})

test.serial('a member killed in the middle: answered whole by others or failed truthfully, memory returns', async (t) => {
  const prompt = ledgerPrompt('killed')
  const answer = complete(fleet.callerAddresses[0]!, prompt, 16)
  await new Promise((resolve) => setTimeout(resolve, 1_000))
  const holding = await busiestEngine()
  await fleet.engines.find(({ name }) => name === holding)!.process.kill()
  const result = await answer
  t.true(streamedText(result) === expectedText(prompt, 16) || (result.error?.number ?? 0) >= 1_000, result.text.slice(-300))
  t.true(await memoryReturned() <= MEMORY_LIMIT_MS)
})

const busiestEngine = async (): Promise<string> => {
  const held = await Promise.all(fleet.engines.map(async (engine) => ({ name: engine.name, tokens: await heldTokens([engine]) })))
  return held.sort((left, right) => right.tokens - left.tokens)[0]!.name
}
