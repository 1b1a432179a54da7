/** UDP socket that sends and receives authenticated gossip messages. */
import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import { once } from 'node:events'
import { setImmediate } from 'node:timers/promises'

import { HEADER_BYTES, MAX_DATAGRAM_BYTES } from '@bluebellhill/domain'
import type { GossipMessage } from '@bluebellhill/domain'

import { verifyDatagram, signDatagram } from './authentication.js'
import { decodeGossip, encodeGossip } from './codec.js'

/** Numbers of datagrams and bytes since the socket was created; the bytes include the IP and UDP headers. */
export interface SocketCounters {
  sent: number
  sentBytes: number
  received: number
  receivedBytes: number
  /** Received datagrams whose authentication tag matches no accepted secret. */
  unauthenticated: number
  /** Received datagrams with a valid tag whose contents are not a gossip message. */
  malformed: number
  /** Datagrams that were too long to send, and errors that the operating system reported. */
  unsendable: number
  /** Datagrams that the drop rule of a test discarded. */
  dropped: number
}

export interface SocketOptions {
  /** IP address to listen on. */
  readonly host: string
  /** UDP port to listen on; 0 selects a free port. */
  readonly port: number
  /** The first secret signs sent datagrams; a received datagram may be signed with any of them. */
  readonly secrets: readonly string[]
  readonly onMessage: (from: string, message: GossipMessage) => void
}

/** Returns whether a test discards a datagram to or from an address. */
export type DropRule = (direction: 'sent' | 'received', address: string) => boolean

/** Counts every datagram that it sends, receives or discards. */
export class GossipSocket {
  readonly counters: SocketCounters = { sent: 0, sentBytes: 0, received: 0, receivedBytes: 0, unauthenticated: 0, malformed: 0, unsendable: 0, dropped: 0 }
  private readonly socket: Socket = createSocket('udp4')
  private secrets: readonly string[]
  private dropRule: DropRule | null = null
  private isClosed = false
  private pendingSends = 0

  constructor (private readonly options: SocketOptions) {
    this.secrets = options.secrets
    this.socket.on('message', (datagram, remote) => this.receive(datagram, remote))
    this.socket.on('error', () => { this.counters.unsendable += 1 })
  }

  /**
   * Binds the socket to its address.
   *
   * @returns the `ip:port` on which it listens
   * @throws Error if the address cannot be bound
   */
  async bind (): Promise<string> {
    this.socket.bind(this.options.port, this.options.host)
    await once(this.socket, 'listening')
    const { address, port } = this.socket.address()
    return `${address}:${port}`
  }

  /** Replaces the accepted secrets; the first of them signs all later datagrams. */
  rotateSecrets (secrets: readonly string[]): void {
    this.secrets = secrets
  }

  /** Test hook: discards the datagrams for which `rule` returns true; null discards none. */
  setDropRule (rule: DropRule | null): void {
    this.dropRule = rule
  }

  send (to: string, message: GossipMessage): void {
    if (this.isClosed) return
    const datagram = signDatagram(this.secrets[0] ?? '', encodeGossip(message))
    if (datagram.length > MAX_DATAGRAM_BYTES) {
      this.counters.unsendable += 1
      return
    }
    if (this.dropRule?.('sent', to) === true) {
      this.counters.dropped += 1
      return
    }
    this.counters.sent += 1
    this.counters.sentBytes += datagram.length + HEADER_BYTES
    this.pendingSends += 1
    const separator = to.lastIndexOf(':')
    this.socket.send(datagram, Number(to.slice(separator + 1)), to.slice(0, separator), (error) => {
      this.pendingSends -= 1
      if (error !== null) this.counters.unsendable += 1
    })
  }

  /** Waits until the operating system has accepted or refused every datagram. */
  async flush (): Promise<void> {
    while (this.pendingSends > 0) await setImmediate()
  }

  dispose (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.socket.close()
  }

  private receive (datagram: Buffer, remote: RemoteInfo): void {
    const from = `${remote.address}:${remote.port}`
    if (this.dropRule?.('received', from) === true) {
      this.counters.dropped += 1
      return
    }
    this.counters.received += 1
    this.counters.receivedBytes += datagram.length + HEADER_BYTES
    const contents = verifyDatagram(this.secrets, datagram)
    if (contents === null) {
      this.counters.unauthenticated += 1
      return
    }
    const message = this.decode(contents)
    if (message !== null) this.options.onMessage(from, message)
  }

  private decode (contents: Uint8Array): GossipMessage | null {
    try {
      return decodeGossip(contents)
    } catch {
      this.counters.malformed += 1
      return null
    }
  }
}
