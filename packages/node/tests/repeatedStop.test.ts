import test from 'ava'

import { firstPortOf, startNodes } from './silentStore.js'

// Guards against LOST: the process exits when a stop resolves, and a second SIGTERM cut off what the first one let finish.
test('each further stop waits for the one under way', async (t) => {
  const [started] = await startNodes(t, 1, firstPortOf(0))
  const { node } = started!
  let isStopped = false
  const first = node.stop().then(() => { isStopped = true })
  await node.stop()
  t.true(isStopped)
  await Promise.all([first, node.stop(), node.stop()])
})
