/** TCP proxy on loopback whose open connections can go silent for good while new ones work. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

/** Forwards the connections to one address to another one. */
export class Link {
  #pairs = new Set()
  #server
  #openedCount = 0

  /**
   * @param target - host and port that connections are forwarded to
   */
  constructor (target) {
    this.#server = createServer({ allowHalfOpen: true }, (near) => this.#join(near, connect({ ...target, allowHalfOpen: true, noDelay: true })))
  }

  async start (host, port) {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
  }

  /** Number of connections so far. */
  get openedCount () {
    return this.#openedCount
  }

  /**
   * Lets the open connections go silent for good: nothing is forwarded any more, and no end is told of the other's. New connections work.
   *
   * @returns their number
   */
  silenceOpen () {
    let silenced = 0
    for (const pair of this.#pairs) {
      if (!pair.isSilent) silenced += 1
      pair.isSilent = true
    }
    return silenced
  }

  stop () {
    this.#server.close()
    for (const { near, far } of this.#pairs) {
      near.destroy()
      far.destroy()
    }
  }

  #join (near, far) {
    const pair = { near, far, isSilent: false }
    this.#openedCount += 1
    this.#pairs.add(pair)
    near.setNoDelay(true)
    this.#forward(pair, near, far)
    this.#forward(pair, far, near)
  }

  #forward (pair, from, to) {
    from.on('data', (bytes) => { if (!pair.isSilent && !to.destroyed) to.write(bytes) })
    from.on('end', () => { if (!pair.isSilent) to.end() })
    from.on('error', () => { if (!pair.isSilent) to.destroy() })
    from.on('close', () => {
      if (!pair.isSilent) to.destroy()
      if (pair.near.destroyed && pair.far.destroyed) this.#pairs.delete(pair)
    })
  }
}
