import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import { once } from 'node:events'
import { setImmediate } from 'node:timers/promises'

import { HEADER_BYTES, MAX_DATAGRAM_BYTES } from '@bluebellhill/domain'
import type { GossipMessage } from '@bluebellhill/domain'

import { verifyDatagram, signDatagram } from './authentication.js'
import { decodeGossip, encodeGossip } from './codec.js'

/** Datagrams and bytes since the start; bytes include the IP and UDP headers. */
export interface SocketCounters {
  sent: number
  sentBytes: number
  received: number
  receivedBytes: number
  /** Wrong tag. */
  unauthenticated: number
  /** Right tag, but not a message. */
  malformed: number
  /** Too long to send, or refused by the operating system. */
  unsendable: number
  /** Dropped by a test. */
  dropped: number
}

/** Options of the socket. */
export interface SocketOptions {
  /** IP number to listen on. */
  readonly host: string
  /** 0 takes a free port. */
  readonly port: number
  /** The first signs; every one is accepted. */
  readonly secrets: readonly string[]
  readonly onMessage: (from: string, message: GossipMessage) => void
}

/** Decides for tests whether a datagram is lost. */
export type DropRule = (direction: 'sent' | 'received', address: string) => boolean

/** Sends and receives authenticated gossip messages over UDP. */
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
   * @returns `ip:port` that it listens on
   * @throws Error where the address cannot be bound
   */
  async bind (): Promise<string> {
    this.socket.bind(this.options.port, this.options.host)
    await once(this.socket, 'listening')
    const { address, port } = this.socket.address()
    return `${address}:${port}`
  }

  /** Replaces the secrets; the first signs from now on. */
  rotateSecrets (secrets: readonly string[]): void {
    this.secrets = secrets
  }

  /** Test hook: loses the datagrams for which `rule` holds; null loses none. */
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

  /** Waits until every datagram was handed to the operating system. */
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
