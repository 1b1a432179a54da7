/** Puts a stand-in engine together. */
import { Disposables } from '../Disposables.js'
import type { Disposable } from '../Disposables.js'
import { StandinServer } from '../http/StandinServer.js'
import { sendJson } from '../http/messages.js'
import type { Handler, Routes } from '../http/types.js'
import { BlockMemory } from './BlockMemory.js'
import { CacheEventLog } from './CacheEventLog.js'
import { completionRoutes } from './completionRoutes.js'
import { Engine } from './Engine.js'
import { EngineLedger } from './EngineLedger.js'
import type { EngineParts } from './EngineParts.js'
import { EngineRefusal } from './errors.js'
import { initialEngineFaults } from './faults.js'
import { ModelLoader } from './ModelLoader.js'
import { ModelState } from './ModelState.js'
import { segmentRoutes } from './segmentRoutes.js'
import { SegmentStore } from './SegmentStore.js'
import { StatusReporter } from './StatusReporter.js'
import { statusRoutes } from './statusRoutes.js'
import type { EngineOptions } from './types.js'

const assemble = (options: EngineOptions, owned: Disposables): EngineParts => {
  const faults = initialEngineFaults()
  const ledger = new EngineLedger()
  const state = new ModelState(options)
  const events = new CacheEventLog(() => performance.now(), options.eventLagMs, options.eventDropRate, options.seed)
  const memory = new BlockMemory(Math.floor(options.memoryTokens / options.blockTokens), options.blockTokens, events)
  const engine = owned.add(new Engine(options, memory, faults, ledger))
  const segments = new SegmentStore(engine, options.hostTokens)
  const loader = new ModelLoader(options, engine, state, faults)
  const status = owned.add(new StatusReporter(options, engine, state, segments, faults))
  return { options, faults, ledger, engine, state, loader, segments, events, status }
}

const answerRefusals = (handler: Handler): Handler => async (exchange) => {
  try {
    await handler(exchange)
  } catch (error) {
    if (!(error instanceof EngineRefusal)) throw error
    sendJson(exchange.response, error.status, { error: { code: error.code, ...error.detail } })
  }
}

const engineRoutes = (parts: EngineParts): Routes => {
  const routes = { ...completionRoutes(parts), ...statusRoutes(parts), ...segmentRoutes(parts) }
  return Object.fromEntries(Object.entries(routes).map(([route, handler]) => [route, answerRefusals(handler)]))
}

const ledgerReport = (parts: EngineParts): unknown => ({
  name: parts.options.name,
  ...parts.ledger.report(),
  lateness: parts.ledger.lateness,
  orders: parts.loader.orders,
  heldTokens: parts.engine.memory.heldBlocks * parts.options.blockTokens,
  importedTokens: parts.segments.importedTokens,
  streams: parts.engine.live.map(({ spec }) => spec.requestId),
  segments: parts.segments.all.map(({ id, requestId, tokens }) => ({ id, requestId, tokens }))
})

/** A stand-in engine, ready to listen. */
export interface StandinEngine extends Disposable {
  readonly parts: EngineParts
  readonly server: StandinServer
}

/**
 * Makes an engine.
 *
 * @param options - its settings
 * @param listen - `ip:port` of the service
 * @returns the engine; it listens after `server.start()`
 */
export const createEngine = (options: EngineOptions, listen: string): StandinEngine => {
  const owned = new Disposables()
  const parts = assemble(options, owned)
  const server = owned.add(new StandinServer({
    name: options.name,
    listen,
    routes: engineRoutes(parts),
    faults: parts.faults,
    ledger: () => ledgerReport(parts),
    faultsChanged: (service) => {
      if (parts.faults.downMs > 0) service.goDown(parts.faults.downMs)
      parts.faults.downMs = 0
    }
  }))
  return { parts, server, dispose: async () => await owned.dispose() }
}
