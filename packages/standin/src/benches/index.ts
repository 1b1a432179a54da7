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
  new ProgramBench('configuration-size', 'memory and processor time of the configuration by organisations', 'node/dist/bench/configurationSize.js', { takesSeed: false }),
  new ProgramBench('membership', 'cost of membership and gossip a node by the size of the fleet', 'node/dist/bench/membership.js'),
  new ProgramBench('membership-sockets', 'failure detection and gossip over real sockets', 'node/dist/bench/membershipSockets.js', { takesSeed: false }),
  new ProgramBench('placement', 'cost of the placement plan at its leader by runners', 'node/dist/bench/placement.js', { takesSeed: false })
]
