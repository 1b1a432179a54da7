/** Keeps one gRPC channel to each peer and one client for each of its services. */
import { credentials } from '@grpc/grpc-js'
import type { Interceptor } from '@grpc/grpc-js'
import { ConfigurationExchangeClient, DispatcherClient, EntryClient } from '@bluebellhill/protocol'

import { MAX_MESSAGE_BYTES } from './constants.js'
import type { PeerAuthenticator } from './PeerAuthenticator.js'

interface PeerChannel {
  readonly dispatcher: DispatcherClient
  readonly entry: EntryClient
  readonly configuration: ConfigurationExchangeClient
}

/** The clients of all peers, by address. */
export class PeerClients {
  readonly #channels = new Map<string, PeerChannel>()
  readonly #credentials = credentials.createInsecure()
  readonly #interceptor: Interceptor

  /**
   * @param authenticator - signs each call
   */
  constructor (authenticator: PeerAuthenticator) {
    this.#interceptor = authenticator.interceptor()
  }

  /**
   * Gives the dispatcher service of a peer.
   *
   * @param address - the peer's `ip:port`
   */
  dispatcher (address: string): DispatcherClient {
    return this.#channel(address).dispatcher
  }

  /**
   * Gives the entry service of a peer.
   *
   * @param address - the peer's `ip:port`
   */
  entry (address: string): EntryClient {
    return this.#channel(address).entry
  }

  /**
   * Gives the configuration service of a peer.
   *
   * @param address - the peer's `ip:port`
   */
  configuration (address: string): ConfigurationExchangeClient {
    return this.#channel(address).configuration
  }

  /** Closes every channel whose address is not in use any more. */
  retain (addresses: ReadonlySet<string>): void {
    for (const [address, channel] of this.#channels) {
      if (addresses.has(address)) continue
      this.#close(channel)
      this.#channels.delete(address)
    }
  }

  dispose (): void {
    this.retain(new Set())
  }

  #channel (address: string): PeerChannel {
    let channel = this.#channels.get(address)
    if (channel === undefined) {
      channel = this.#open(address)
      this.#channels.set(address, channel)
    }
    return channel
  }

  #open (address: string): PeerChannel {
    const options = {
      interceptors: [this.#interceptor],
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      'grpc.initial_reconnect_backoff_ms': 100,
      'grpc.max_reconnect_backoff_ms': 1_000,
      'grpc.keepalive_time_ms': 2_000,
      'grpc.keepalive_timeout_ms': 1_000
    }
    return {
      dispatcher: new DispatcherClient(address, this.#credentials, options),
      entry: new EntryClient(address, this.#credentials, options),
      configuration: new ConfigurationExchangeClient(address, this.#credentials, options)
    }
  }

  #close (channel: PeerChannel): void {
    channel.dispatcher.close()
    channel.entry.close()
    channel.configuration.close()
  }
}
