/** TCP proxy on loopback that disrupts the connections through it. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'

/** How the proxy treats the bytes of its connections. */
export const LinkMode = {
  Open: 'open',
  /** New and open connections are reset. */
  Reset: 'reset',
  /** No bytes are forwarded in either direction, and no connection is closed. */
  Silent: 'silent',
  /** Only the bytes of requests are forwarded. */
  OneWay: 'one_way',
  /** Every chunk is delayed. */
  Delayed: 'delayed'
} as const
export type LinkMode = typeof LinkMode[keyof typeof LinkMode]

const DELAY_MS = 60

interface Link {
  readonly client: Socket
  readonly server: Socket
}

/** Bytes of the server that were forwarded to the client. */
interface Delivery {
  readonly server: Socket
  /** Local port of the connection to the server. */
  readonly port: number
  /** Milliseconds on the process's monotonic clock. */
  readonly at: number
}

/** Listens at one address and forwards its connections to another. */
export class TcpProxy {
  readonly #server: Server
  readonly #links = new Set<Link>()
  #address = { host: '', port: 0 }
  #deliveries: Delivery[] = []
  #mode: LinkMode = LinkMode.Open
  #lastInjury = -Infinity

  /**
   * @param host - of the target
   * @param port - of the target
   */
  constructor (private readonly host: string, private readonly port: number) {
    this.#server = createServer((client) => this.#link(client))
  }

  async start (host: string, port: number): Promise<void> {
    this.#address = { host, port }
    await this.reopen()
  }

  /** Leaves its port, so that connections are refused, and resets the open ones. */
  close (): void {
    this.#server.close()
    this.cut()
  }

  /** Listens again after `close`. */
  async reopen (): Promise<void> {
    this.#server.listen(this.#address)
    await once(this.#server, 'listening')
  }

  /** Whether the proxy has forwarded all bytes since this time. */
  isSoundSince (time: number): boolean {
    return this.#mode === LinkMode.Open && this.#lastInjury < time
  }

  /**
   * Finds out whether an answer has arrived. Bytes to a client that had closed the connection before have not.
   *
   * @param port - local port of the connection to the server, which is the remote port that the server sees
   * @param time - time of the request, on the process's monotonic clock
   * @returns time at which the next bytes of the server were forwarded on that connection; null if none were
   */
  deliveredAfter (port: number, time: number): number | null {
    return this.#deliveries.find((delivery) => delivery.port === port && delivery.at >= time)?.at ?? null
  }

  /** Changes how bytes are treated from now on. */
  setMode (mode: LinkMode): void {
    if (this.#mode !== LinkMode.Open) this.#lastInjury = performance.now()
    // A connection on which pieces were held back stays broken: TCP would not lose them in the middle.
    if (this.#mode === LinkMode.Silent || this.#mode === LinkMode.OneWay || mode === LinkMode.Reset) this.cut()
    this.#mode = mode
  }

  /** Resets every open connection. */
  cut (): void {
    this.#lastInjury = performance.now()
    for (const { client, server } of this.#links) {
      reset(client)
      reset(server)
    }
  }

  dispose (): void {
    this.#server.close()
    this.cut()
  }

  #link (client: Socket): void {
    if (this.#mode === LinkMode.Reset) {
      reset(client)
      return
    }
    const server = connect({ host: this.host, port: this.port, noDelay: true })
    client.setNoDelay(true)
    const link = { client, server }
    this.#links.add(link)
    this.#pass(client, server, LinkMode.OneWay, () => {})
    this.#pass(server, client, null, () => { void this.#recordDelivery(link) })
    client.on('error', () => this.#discardDeliveries(server))
    for (const [end, other] of [[client, server], [server, client]] as const) {
      // A reset of one end is passed on as a reset of the other.
      end.on('error', () => reset(other))
      end.on('close', () => { if (other.destroyed) this.#links.delete(link) })
    }
  }

  async #recordDelivery ({ client, server }: Link): Promise<void> {
    const { localPort: port } = server
    if (port === undefined) return
    const delivery = { server, port, at: performance.now() }
    // The next poll of the event loop, which precedes the second callback, reports an end that the client had sent before.
    await nextTurn()
    await nextTurn()
    if (!client.readableEnded && !client.errored) this.#deliveries.push(delivery)
  }

  #discardDeliveries (server: Socket): void {
    this.#deliveries = this.#deliveries.filter((delivery) => delivery.server !== server)
  }

  /** Forwards bytes in one direction; `passingMode` is the mode that blocks only the other direction. */
  #pass (from: Socket, to: Socket, passingMode: LinkMode | null, forwarded: () => void): void {
    const isHeld = (): boolean => this.#mode === LinkMode.Silent || (this.#mode === LinkMode.OneWay && passingMode !== LinkMode.OneWay)
    // What follows a late piece is later still: TCP keeps the order.
    let late: Promise<void> | null = null
    const later = (act: () => void): void => {
      if (isHeld()) return
      if (this.#mode !== LinkMode.Delayed && late === null) {
        act()
        return
      }
      const delay = this.#mode === LinkMode.Delayed ? DELAY_MS : 0
      const turn = Promise.all([late, sleep(delay)]).then(() => {
        act()
        if (late === turn) late = null
      })
      late = turn
    }
    from.on('data', (piece) => later(() => {
      if (to.destroyed) return
      if (!to.writableEnded) forwarded()
      to.write(piece)
    }))
    from.on('end', () => {
      // libuv reports an end if a reset arrives together with bytes; a socket that was reset has no remote address.
      const isReset = from.remoteAddress === undefined
      later(() => { if (isReset) reset(to); else to.end() })
    })
  }
}

const reset = (socket: Socket): void => {
  if (socket.destroyed) return
  // A connection that is not open yet, or already ends, cannot be reset.
  if (socket.connecting || socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
