/** All benches by name. */
import { LengthBench } from './length.js'
import { OverheadBench } from './overhead.js'
import { ProgramBench } from './ProgramBench.js'
import type { Bench } from './types.js'

export const BENCHES: readonly Bench[] = [
  new OverheadBench(),
  new LengthBench(),
  new ProgramBench('claims', 'claims of idempotency keys a second over nine nodes and a slow store', 'node/dist/bench/claims.js'),
  new ProgramBench('configuration', 'time until an edit is in force, and calls to the store', 'node/dist/bench/configuration.js'),
  new ProgramBench('membership', 'failure detection and gossip over real sockets', 'node/dist/bench/membership.js')
]
