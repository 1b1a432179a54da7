import test from 'ava'

import { assertNever, LENGTH_CLASSES, LENGTH_CLASS_NAMES } from '../src/index.js'

test('every length class has a name', (t) => {
  t.is(LENGTH_CLASSES.length, LENGTH_CLASS_NAMES.length)
})

test('assertNever names the value', (t) => {
  t.throws(() => assertNever('stray' as never), { message: /stray/ })
})
