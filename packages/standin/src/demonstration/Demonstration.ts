/** The demonstration: a fleet in three failure domains under a mixed load, an edit, and two deaths on the way. */
import { Fleet, SERVICE } from '../fleet/index.js'
import { ArrivalKind, Caller, LoadRun, makeReport, proveByLedgers, readLedgers } from '../load/index.js'
import type { CallOutcome, LedgerProof, LoadOptions, LoadRecords, LoadReport, RequestRecord } from '../load/index.js'
import { demoLoad, DEMO_FLEET, STEPS } from './plan.js'

const PROGRESS_MS = 2_000

/** Time in which the engines' memory has to come back, in milliseconds. */
const RETURN_MS = 10_000
const RETURN_CHECK_MS = 250
const URGENT = 2
const KILLED_NODE = 1
const KILLED_ENGINE = 2

const sleep = async (ms: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, ms))

const outcomeWords = (outcome: CallOutcome): string => 'code' in outcome ? `${outcome.type} with ${outcome.code}` : outcome.type

/** Runs the steps and reports on them as they happen. */
export class Demonstration {
  private readonly fleet = new Fleet(DEMO_FLEET)
  /** Whether the configuration edit did not come into force. */
  editFailed = false
  private readonly counts = { answered: 0, refused: 0, failed: 0, other: 0 }
  private readonly extra: RequestRecord[] = []
  private startedAt = performance.now()

  /**
   * @param seed - of the load
   * @param print - takes one line
   */
  constructor (private readonly seed: number, private readonly print: (line: string) => void) {}

  /**
   * Runs everything.
   *
   * @returns the figures, from the callers' view and the ledgers
   */
  async run (): Promise<LoadReport> {
    try {
      await this.start()
      const options = demoLoad(this.fleet.callerAddresses, this.seed)
      const [run] = await Promise.all([this.load(options), this.takeSteps(options)])
      return await this.prove(run, options)
    } finally {
      await this.fleet.dispose()
    }
  }

  private async start (): Promise<void> {
    const { nodes, engines, plains, failureDomains } = DEMO_FLEET
    this.say(`starting ${nodes} nodes, ${engines} engines, ${plains} plain services and the platform in ${failureDomains.join(', ')}`)
    await this.fleet.start()
    this.say('every node answers; the load begins')
  }

  private say (text: string): void {
    const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(1).padStart(5)
    this.print(`${seconds} s  ${text}`)
  }

  private async load (options: LoadOptions): Promise<LoadRecords> {
    const timer = setInterval(() => this.progress(), PROGRESS_MS)
    const run = await new LoadRun(options, ({ outcome: { type } }) => this.count(type)).run()
    clearInterval(timer)
    this.progress()
    return run
  }

  private count (type: string): void {
    if (type === 'answered' || type === 'refused' || type === 'failed') this.counts[type]++
    else this.counts.other++
  }

  private progress (): void {
    const { answered, refused, failed, other } = this.counts
    this.say(`answered ${answered}, refused ${refused}, failed ${failed}${other > 0 ? `, without a right answer ${other}` : ''}`)
  }

  private async takeSteps (options: LoadOptions): Promise<void> {
    const startedAt = performance.now()
    const at = async (ms: number): Promise<void> => await sleep(Math.max(0, startedAt + ms - performance.now()))
    await at(STEPS.orderTwice)
    await this.orderTwice(options)
    await at(STEPS.edit)
    await this.edit()
    await at(STEPS.killNode)
    await this.killNode()
    await at(STEPS.killEngine)
    await this.killEngine()
  }

  private async orderTwice ({ deadlineMs, graceMs, organisations }: LoadOptions): Promise<void> {
    const caller = new Caller(deadlineMs, graceMs)
    const call = { apiKey: organisations[0]!.apiKey, service: SERVICE, key: `twice-${this.seed}` }
    const [one, other] = this.fleet.callerAddresses
    const outcomes = await Promise.all([one!, other!].map(async (target) => await caller.order(target, call)))
    await caller.dispose()
    this.say(`one order with one key sent to two nodes at once: ${outcomes.map(outcomeWords).join(' and ')}`)
    const outcome = outcomes.find(({ type }) => type === 'answered') ?? outcomes[0]!
    const arrival = { id: -1, kind: ArrivalKind.Order, atMs: 0, organisation: 0, promptTokens: 0, maxTokens: 0, twice: true }
    this.extra.push({ arrival, outcome, digest: null, key: call.key, sends: 2 })
  }

  private async edit (): Promise<void> {
    const organisation = DEMO_FLEET.organisations[1]!
    const startedAt = performance.now()
    try {
      const said = await this.fleet.applyOrganisation(organisation, URGENT)
      this.say(`urgency of ${organisation.name} set to ${URGENT} in ${Math.round(performance.now() - startedAt)} ms: ${said}`)
    } catch (error) {
      this.editFailed = true
      this.say(`the edit failed: ${String(error)}`)
    }
  }

  private async killNode (): Promise<void> {
    const node = this.fleet.nodes[KILLED_NODE]!
    await node.process.kill()
    this.say(`killed ${node.name} in ${node.failureDomain}`)
    await this.fleet.changeVm(node.name, null)
  }

  private async killEngine (): Promise<void> {
    const engine = this.fleet.engines[KILLED_ENGINE]!
    await engine.process.kill()
    this.say(`killed ${engine.name} in ${engine.failureDomain}`)
    await this.fleet.changeVm(engine.name, null)
  }

  private async prove (run: LoadRecords, options: LoadOptions): Promise<LoadReport> {
    const records = [...run.records, ...this.extra]
    const proof = await this.untilReturned(records)
    return makeReport({ ...run, records }, options.nominal, proof)
  }

  /** Reads the ledgers until the engines hold nothing more, or the time for that is over. */
  private async untilReturned (records: readonly RequestRecord[]): Promise<LedgerProof> {
    const startedAt = performance.now()
    const read = async (): Promise<LedgerProof> => proveByLedgers(await readLedgers(this.fleet.ledgerAddresses), records)
    let proof = await read()
    while (proof.heldTokens > 0 && performance.now() - startedAt < RETURN_MS) {
      await sleep(RETURN_CHECK_MS)
      proof = await read()
    }
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1)
    this.say(`${proof.heldTokens} tokens held by the engines ${seconds} s after the last answer`)
    return proof
  }
}
