/** The stand-in weight store: streams bytes at a limited rate that open transfers share. */
import type { ServerResponse } from 'node:http'

import type { Disposable } from '../Disposables.js'
import { sendJson } from '../http/messages.js'
import type { Exchange, Routes } from '../http/types.js'

const TICK_MS = 20
const MS_PER_SECOND = 1_000
const RETRY_SECONDS = '1'

/** Settings of the store. */
export interface WeightStoreOptions {
  readonly name: string
  /** Rate of all transfers together. */
  readonly bytesPerSecond: number
  /** Size of one model's weights. */
  readonly modelBytes: number
  readonly maxTransfers: number
}

const initialWeightStoreFaults = () => ({
  /** Refuse connections for so many milliseconds. */
  downMs: 0,
  /** Answer 503. */
  unavailable: false,
  /** Transfers take so many times as long. */
  slowFactor: 1,
  /** Next transfers cut in the middle. */
  cutTransfers: 0
})

interface Transfer {
  readonly response: ServerResponse
  left: number
}

/** Streams weights. */
export class WeightStore implements Disposable {
  readonly faults = initialWeightStoreFaults()
  private readonly transfers = new Set<Transfer>()
  private readonly counts: Record<string, { started: number, finished: number }> = {}
  private refused = 0
  private mostOpen = 0
  private readonly timer = setInterval(() => this.tick(), TICK_MS)

  /**
   * @param options - rates and sizes
   */
  constructor (private readonly options: WeightStoreOptions) {}

  /** The published route; the path names model and version. */
  get routes (): Routes {
    return {
      'GET /health': ({ response }) => sendJson(response, 200, {}),
      '*': (exchange) => this.open(exchange)
    }
  }

  /** Transfers by model and version. */
  ledger (): unknown {
    return { transfers: this.counts, refused: this.refused, open: this.transfers.size, mostOpen: this.mostOpen }
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  private open ({ request, response, url }: Exchange): void {
    const match = /^\/v1\/weights\/([^/]+)\/([^/]+)$/.exec(url.pathname)
    if (request.method !== 'GET' || !match) return sendJson(response, 404, {})
    if (this.faults.unavailable) return sendJson(response, 503, {}, { 'retry-after': RETRY_SECONDS })
    if (this.transfers.size >= this.options.maxTransfers) {
      this.refused++
      return sendJson(response, 429, {}, { 'retry-after': RETRY_SECONDS })
    }
    this.start(`${match[1]}/${match[2]}`, response)
  }

  private start (weights: string, response: ServerResponse): void {
    const counted = this.counts[weights] ??= { started: 0, finished: 0 }
    counted.started++
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': String(this.options.modelBytes) })
    const transfer = { response, left: this.options.modelBytes }
    this.transfers.add(transfer)
    this.mostOpen = Math.max(this.mostOpen, this.transfers.size)
    response.on('close', () => this.transfers.delete(transfer))
    response.on('finish', () => counted.finished++)
  }

  private tick (): void {
    if (this.transfers.size === 0) return
    const budget = this.options.bytesPerSecond * TICK_MS / MS_PER_SECOND / this.faults.slowFactor
    const share = Math.max(1, Math.floor(budget / this.transfers.size))
    for (const transfer of this.transfers) this.send(transfer, share)
  }

  private send (transfer: Transfer, share: number): void {
    const bytes = Math.min(transfer.left, share)
    transfer.left -= bytes
    transfer.response.write(Buffer.alloc(bytes))
    if (transfer.left <= this.options.modelBytes / 2 && this.faults.cutTransfers > 0) {
      this.faults.cutTransfers--
      transfer.response.destroy()
    }
    if (transfer.left === 0) {
      this.transfers.delete(transfer)
      transfer.response.end()
    }
  }
}
