/** The stand-in plain service: counts what it executed by the request's key. */
import { CallCounter } from '../CallCounter.js'
import { takeFault } from '../faults.js'
import { cutHalfway, readBody, sendJson } from '../http/messages.js'
import type { Exchange, Routes } from '../http/types.js'

/** Settings of the service. Times in milliseconds. */
export interface PlainOptions {
  readonly name: string
  /** Time that a call takes. */
  readonly serviceMs: number
  /** Whether a repeated `Idempotency-Key` gets the first answer without running again. */
  readonly honourIdempotencyKey: boolean
}

const initialPlainFaults = () => ({
  /** Refuse connections for so many milliseconds. */
  downMs: 0,
  /** Next calls answered 503 with `x-not-started: 1`, without running. */
  refuseNotStarted: 0,
  /** Next calls whose connection closes after half of the body, without running. */
  cutHalfBody: 0,
  /** Next calls whose connection closes before any header, without running. */
  closeBeforeHeaders: 0,
  /** Next calls that run and whose answer is lost. */
  loseAnswers: 0,
  /** Next calls that run and whose answer is cut in its middle. */
  cutAnswers: 0,
  /** Next calls that run and are answered 500. */
  failAfterRun: 0,
  /** Further delay of every call, in milliseconds. */
  slowMs: 0
})

interface Answer {
  readonly executed: number
  readonly key: string | null
}

const keyInBody = (body: Buffer): string | null => {
  try {
    const parsed = JSON.parse(body.toString()) as { key?: unknown } | null
    return parsed?.key === undefined ? null : String(parsed.key)
  } catch {
    return null
  }
}

const headerOf = (value: string | string[] | undefined): string | null => typeof value === 'string' ? value : null

/** Executes calls and counts them. */
export class PlainService {
  readonly faults = initialPlainFaults()
  private readonly executions = new Map<string, number>()
  private readonly answers = new Map<string, Answer>()
  private readonly calls = new CallCounter()
  private unkeyed = 0

  /**
   * @param options - its settings
   */
  constructor (private readonly options: PlainOptions) {}

  /** Any path and method. */
  get routes (): Routes {
    return {
      'GET /health': ({ response }) => sendJson(response, 200, {}),
      '*': async (exchange) => await this.call(exchange)
    }
  }

  /** What was executed. */
  ledger (): unknown {
    return { name: this.options.name, executions: Object.fromEntries(this.executions), unkeyed: this.unkeyed, calls: this.calls.report() }
  }

  private async call (exchange: Exchange): Promise<void> {
    const { request, response } = exchange
    this.calls.count(`${request.method}`)
    if (takeFault(this.faults, 'cutHalfBody')) return await cutHalfway(request)
    const body = await readBody(request)
    if (takeFault(this.faults, 'refuseNotStarted')) return sendJson(response, 503, { error: { code: 'not_started' } }, { 'x-not-started': '1' })
    if (takeFault(this.faults, 'closeBeforeHeaders')) {
      request.socket.destroy()
      return
    }
    const answer = this.execute(exchange, body)
    await this.serviceTime()
    this.answer(exchange, answer)
  }

  private async serviceTime (): Promise<void> {
    const ms = this.options.serviceMs + this.faults.slowMs
    if (ms > 0) await new Promise((resolve) => setTimeout(resolve, ms))
  }

  private execute ({ request }: Exchange, body: Buffer): Answer {
    const key = headerOf(request.headers['x-request-key']) ?? keyInBody(body)
    const idempotencyKey = this.options.honourIdempotencyKey ? headerOf(request.headers['idempotency-key']) : null
    const former = idempotencyKey === null ? undefined : this.answers.get(idempotencyKey)
    if (former) return former
    const answer = { executed: this.count(key), key }
    if (idempotencyKey !== null) this.answers.set(idempotencyKey, answer)
    return answer
  }

  private count (key: string | null): number {
    if (key === null) return ++this.unkeyed
    const executed = (this.executions.get(key) ?? 0) + 1
    this.executions.set(key, executed)
    return executed
  }

  private answer ({ response }: Exchange, answer: Answer): void {
    if (takeFault(this.faults, 'loseAnswers')) {
      response.destroy()
      return
    }
    if (takeFault(this.faults, 'failAfterRun')) return sendJson(response, 500, { error: { code: 'failed' } })
    if (!takeFault(this.faults, 'cutAnswers')) return sendJson(response, 200, answer)
    const text = JSON.stringify(answer)
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': String(text.length) })
    response.write(text.slice(0, text.length / 2), () => response.destroy())
  }
}
