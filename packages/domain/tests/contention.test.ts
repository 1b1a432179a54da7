import test from 'ava'

import { noFreeSlotProbability } from '../src/forwarding/contention.js'

// Guards against requests without any answer: an entry with 2^40 slots occupied the node in a loop over all of them, at each placement.
test('a server that states very many slots takes no longer to judge', (t) => {
  t.is(noFreeSlotProbability(2 ** 40, 30), noFreeSlotProbability(1_000, 30))
  t.is(noFreeSlotProbability(Infinity, 30), noFreeSlotProbability(1_000, 30))
  t.is(noFreeSlotProbability(2 ** 40, 0), 0)
  t.true(noFreeSlotProbability(1, 30) > noFreeSlotProbability(2, 30))
})
