import test from 'ava'

import { DisposableStore } from '../src/index.js'

test('disposables are released once, in reverse order of addition', async (t) => {
  const released: string[] = []
  const store = new DisposableStore()
  store.addCleanup(async () => { released.push('first') })
  store.addCleanup(() => { released.push('second') })
  await Promise.all([store.dispose(), store.dispose()])
  t.deepEqual(released, ['second', 'first'])
  t.true(store.disposed)
})

test('a clean-up step that fails does not prevent the others from running', async (t) => {
  const released: string[] = []
  const store = new DisposableStore()
  store.addCleanup(() => { released.push('first') })
  store.addCleanup(() => { throw new Error('cannot close') })
  const error = await t.throwsAsync(store.dispose(), { instanceOf: AggregateError })
  t.is(error?.errors.length, 1)
  t.deepEqual(released, ['first'])
})

test('a clean-up step added to a disposed store runs immediately', async (t) => {
  const store = new DisposableStore()
  await store.dispose()
  let released = false
  store.addCleanup(() => { released = true })
  t.true(released)
})
