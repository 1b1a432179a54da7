/** Requests on the port that only nodes reach: requests of callers that another node passes on, and anything else. */
import { CallerDoor } from './CallerDoor.js'
import { PORT } from './constants.js'

/** Marks a request that another node passes on. */
const RELAY_HEADER = 'x-bluebellhill-node-relay'
const TRIED_HEADER = 'x-bluebellhill-node-tried'

/** Sends as another node would. */
export class NodePortDoor extends CallerDoor {
  override readonly name = 'nodes'
  protected override readonly port = PORT.peers

  protected override ownHeaders (): Array<readonly [string, string]> {
    const { random } = this.values
    const from = random.pick(['node-1', '', 'x'.repeat(2_000)])
    const tried = random.pick(['', 'i-1', ','.repeat(3_000), Array.from({ length: 500 }, (_, index) => `i-${index}`).join(',')])
    return [[RELAY_HEADER, from], [TRIED_HEADER, tried]]
  }
}
