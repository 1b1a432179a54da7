/** Serves the calls of other nodes over gRPC. */
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { handleUnaryCall, sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { ConfigurationExchangeService, DispatcherService, EntryService } from '@bluebellhill/protocol'

import { push, values, versions } from './configurationHandlers.js'
import { acquire, group, progress, recall } from './dispatchHandlers.js'
import { MAX_MESSAGE_BYTES } from './constants.js'
import { PeerAuthenticator } from './PeerAuthenticator.js'
import type { PeerHandlerContext } from './types.js'

type Handler<Request, Reply> = (context: PeerHandlerContext, call: ServerUnaryCall<Request, Reply>, done: sendUnaryData<Reply>) => void

/** The gRPC server of one node. It refuses calls without a valid token, and all calls until the node is built. */
export class PeerServer {
  readonly #server = new Server({ 'grpc.max_receive_message_length': MAX_MESSAGE_BYTES })
  readonly #authenticator: PeerAuthenticator
  readonly #getContext: () => PeerHandlerContext | null

  /**
   * @param authenticator - checks the token of each call
   * @param getContext - returns the context of the handlers, or null while the node is being built
   */
  constructor (authenticator: PeerAuthenticator, getContext: () => PeerHandlerContext | null) {
    this.#authenticator = authenticator
    this.#getContext = getContext
    this.#server.addService(DispatcherService, {
      acquire: this.#authenticated((context, call, done) => { void acquire(context, call, done) }),
      progress: this.#authenticated(progress),
      group: this.#authenticated(group)
    })
    this.#server.addService(EntryService, { recall: this.#authenticated(recall) })
    this.#server.addService(ConfigurationExchangeService, { versions: this.#authenticated(versions), values: this.#authenticated(values), push: this.#authenticated(push) })
  }

  /**
   * Starts to listen.
   *
   * @param address - `ip:port`; the system chooses a free port for port 0
   * @returns the bound address
   * @throws Error if the address cannot be bound
   */
  async listen (address: string): Promise<string> {
    const port = await new Promise<number>((resolve, reject) => {
      this.#server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => error ? reject(error) : resolve(bound))
    })
    return `${address.slice(0, address.lastIndexOf(':'))}:${port}`
  }

  dispose (): void {
    this.#server.forceShutdown()
  }

  #authenticated <Request, Reply>(handle: Handler<Request, Reply>): handleUnaryCall<Request, Reply> {
    return (call, done) => this.#withContext(call, done, (context) => handle(context, call, done))
  }

  #withContext <Request, Reply>(call: ServerUnaryCall<Request, Reply>, done: sendUnaryData<Reply>, serve: (handlerContext: PeerHandlerContext) => void): void {
    if (!this.#authenticator.accepts(call.getPath(), PeerAuthenticator.tokenOf(call.metadata))) {
      return done({ code: status.UNAUTHENTICATED, details: 'the peer is not known' })
    }
    const context = this.#getContext()
    if (context === null) done({ code: status.UNAVAILABLE, details: 'the node is starting' })
    else serve(context)
  }
}
