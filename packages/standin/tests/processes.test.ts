import test from 'ava'
import { request } from 'undici'

import { ProcessSet } from '../src/processes/index.js'
import { get } from './helpers.js'

const SHORT_MS = 300

test('a child is started, paused, resumed and killed by its id', async (t) => {
  const set = new ProcessSet()
  t.teardown(async () => await set.dispose())
  const child = await set.standin('engine', 'r1', { model: 'm', version: 1 })
  const address = child.address('address')
  t.is((await get(address, '/health')).status, 200)
  child.pause()
  await t.throwsAsync(request(`http://${address}/health`, { signal: AbortSignal.timeout(SHORT_MS) }), { any: true, name: 'TimeoutError' })
  child.resume()
  t.is((await get(address, '/health')).status, 200)
  await child.kill()
  t.false(child.isRunning)
  t.deepEqual(set.running, [])
})

test('a child that does not start is reported with its log', async (t) => {
  const set = new ProcessSet()
  t.teardown(async () => await set.dispose())
  const error = await t.throwsAsync(set.standin('engine', 'bad', { slots: 'many' }))
  t.regex(error.message, /"many" is not a number/)
})

test('disposing ends every child, a paused one too', async (t) => {
  const set = new ProcessSet()
  const children = await Promise.all([set.standin('plain', 'p'), set.standin('vm-list', 'v')])
  children[0].pause()
  await set.dispose()
  t.false(children.some(({ isRunning }) => isRunning))
})
