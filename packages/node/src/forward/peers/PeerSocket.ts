/** Sends and receives datagrams between nodes over one UDP socket. */
import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket, SocketOptions } from 'node:dgram'
import { once } from 'node:events'

import { isSocketAddress } from '@bluebellhill/services'

import type { Log } from '../../log/index.js'

const IP_VERSION = 4

/** Replaces the DNS lookup: hosts are IP numbers already. */
const numericOnly: SocketOptions['lookup'] = (host, _, answer) => answer(null, host, IP_VERSION)

/** UDP socket of a node. */
export class PeerSocket {
  readonly #socket: Socket = createSocket({ type: 'udp4', lookup: numericOnly })
  #undeliveredCount = 0
  #isDisposed = false

  /**
   * @param log - receives a line for each error of the socket
   * @param onDatagram - called with each datagram and the `ip:port` of its sender
   */
  constructor (log: Log, onDatagram: (datagram: Buffer, address: string) => void) {
    this.#socket.on('message', (datagram: Buffer, remote: RemoteInfo) => onDatagram(datagram, `${remote.address}:${remote.port}`))
    this.#socket.on('error', (error) => {
      this.#undeliveredCount += 1
      log.warn('peers.socket_error', { reason: error.message })
    })
  }

  /** Number of datagrams that could not be sent. */
  get undeliveredCount (): number {
    return this.#undeliveredCount
  }

  /**
   * @param host - IP number to bind to
   * @param port - UDP port
   * @throws Error if the port cannot be bound
   */
  async start (host: string, port: number): Promise<void> {
    const listening = once(this.#socket, 'listening')
    this.#socket.bind(port, host)
    await listening
  }

  /**
   * @param datagram - contents
   * @param address - `ip:port` of the receiver, as another node or the store has stated it
   */
  send (datagram: Uint8Array, address: string): void {
    if (this.#isDisposed) return
    if (!isSocketAddress(address)) {
      this.#undeliveredCount += 1
      return
    }
    const [host = '', port = ''] = address.split(':')
    this.#socket.send(datagram, Number(port), host, (error) => {
      if (error !== null) this.#undeliveredCount += 1
    })
  }

  dispose (): void {
    if (this.#isDisposed) return
    this.#isDisposed = true
    this.#socket.close()
  }
}
