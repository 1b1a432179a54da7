/** Process of one node under test, which can be stopped, paused, killed and started again. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, openSync } from 'node:fs'
import { once } from 'node:events'
import { dirname, resolve } from 'node:path'

import { ProcessorWaits } from './ProcessorWaits.js'

/** Period in which the checks do not apply to a node. */
export interface Outage {
  readonly from: number
  until: number
}

/** Runs the program that is deployed. */
export class NodeProcess {
  /** Exits that the soak did not cause, and exits with another code than expected. */
  readonly unexpectedEnds: string[] = []
  /** When the running process waited for a processor. */
  readonly waits = new ProcessorWaits()
  /** File that the process itself writes, so that its log takes no time of the soak. */
  readonly #log: number
  #child: ChildProcess | null = null
  #ending = false
  #isKilled = false
  readonly #outages: Outage[] = []

  /**
   * @param name - of the node
   * @param program - file that node.js runs, in the directory above its own: the program loads its bundle from there
   * @param environment - tells the program its settings file
   * @param logFile - gets what the process writes
   * @param flags - flags of node.js
   */
  constructor (readonly name: string, private readonly program: string, private readonly environment: Record<string, string>, logFile: string, private readonly flags: readonly string[] = []) {
    this.#log = openSync(logFile, 'a')
  }

  /** Starts the program unless it runs. */
  start (): void {
    if (this.#child !== null) return
    this.#ending = false
    this.#isKilled = false
    const child = spawn(process.execPath, [...this.flags, resolve(this.program)], { cwd: dirname(dirname(resolve(this.program))), env: { ...process.env, ...this.environment }, stdio: ['ignore', this.#log, this.#log] })
    child.once('exit', (code, signal) => {
      if (!this.#ending) this.unexpectedEnds.push(`${this.name} ended by itself with ${signal ?? code}`)
      if (this.#child === child) this.#child = null
    })
    this.#child = child
    if (child.pid !== undefined) this.waits.follow(child.pid)
  }

  get isRunning (): boolean {
    return this.#child !== null
  }

  /** Id of the running process; null if none runs. */
  get pid (): number | null {
    return this.#child?.pid ?? null
  }

  /** Whether the process ran freely from one time to another. */
  wasSound (from: number, until: number): boolean {
    return !this.#outages.some((outage) => outage.from < until && outage.until > from)
  }

  /** Starts a period in which the checks do not apply to the node; it ends when `until` of the returned outage is set. */
  beginOutage (): Outage {
    const outage = { from: performance.now(), until: Infinity }
    this.#outages.push(outage)
    return outage
  }

  pause (): void {
    this.#child?.kill('SIGSTOP')
  }

  resume (): void {
    this.#child?.kill('SIGCONT')
  }

  reload (): void {
    this.#child?.kill('SIGHUP')
  }

  async kill (): Promise<void> {
    this.#isKilled = true
    await this.#end('SIGKILL')
  }

  /** Sends SIGTERM; the process has to exit with code 0 within the grace period, unless it is killed meanwhile. */
  async stop (grace: number): Promise<void> {
    const child = this.#child
    if (child === null) return
    const timer = setTimeout(() => {
      this.unexpectedEnds.push(`${this.name} did not stop within ${grace} ms`)
      child.kill('SIGKILL')
    }, grace)
    const code = await this.#end('SIGTERM')
    clearTimeout(timer)
    if (code !== 0 && !this.#isKilled) this.unexpectedEnds.push(`${this.name} stopped with code ${String(code)}`)
  }

  async dispose (): Promise<void> {
    await this.kill()
    this.waits.dispose()
    closeSync(this.#log)
  }

  async #end (signal: NodeJS.Signals): Promise<number | null> {
    const child = this.#child
    if (child === null) return 0
    this.#ending = true
    const ended = once(child, 'exit') as Promise<[number | null]>
    child.kill(signal)
    // A paused process takes a signal only once it goes on.
    child.kill('SIGCONT')
    const [code] = await ended
    return code
  }
}
