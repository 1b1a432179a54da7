/** Keeps the gRPC clients of each peer. */
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

/** Creates the gRPC clients of a peer on first use and keeps them by address. */
export class PeerClients {
  readonly #channels = new Map<string, PeerChannel>()
  readonly #credentials = credentials.createInsecure()
  readonly #interceptor: Interceptor

  /**
   * @param authenticator - adds a token to each call
   */
  constructor (authenticator: PeerAuthenticator) {
    this.#interceptor = authenticator.interceptor()
  }

  /**
   * Returns the client of a peer's dispatcher service.
   *
   * @param address - the peer's `ip:port`
   */
  dispatcher (address: string): DispatcherClient {
    return this.#channel(address).dispatcher
  }

  /**
   * Returns the client of a peer's entry service.
   *
   * @param address - the peer's `ip:port`
   */
  entry (address: string): EntryClient {
    return this.#channel(address).entry
  }

  /**
   * Returns the client of a peer's configuration exchange service.
   *
   * @param address - the peer's `ip:port`
   */
  configuration (address: string): ConfigurationExchangeClient {
    return this.#channel(address).configuration
  }

  /** Closes the clients of every address that is not in `addresses`. */
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
