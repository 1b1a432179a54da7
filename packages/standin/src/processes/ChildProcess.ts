/** One child process of ours: started, awaited until ready, paused, killed and logged. */
import { spawn } from 'node:child_process'
import type { ChildProcessWithoutNullStreams } from 'node:child_process'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'

import type { Disposable } from '../Disposables.js'

const READY_TIMEOUT_MS = 20_000
const STOP_TIMEOUT_MS = 5_000
const LOG_LINES = 5_000

/** The line that a process prints when it listens. */
export interface ReadyLine {
  readonly ready: true
  readonly name: string
  readonly [address: string]: unknown
}

const readyLineOf = (line: string): ReadyLine | null => {
  if (!line.startsWith('{"ready":true')) return null
  return JSON.parse(line) as ReadyLine
}

/** A running child. */
export class ChildProcess implements Disposable {
  /** Last lines of its standard output and error. */
  readonly log: string[] = []
  /** Resolves with the exit code; null after a signal. */
  readonly exited: Promise<number | null>
  private ready: ReadyLine | null = null
  private readonly child: ChildProcessWithoutNullStreams
  private isOver = false

  /**
   * @param name - for messages
   * @param script - path of the program
   * @param args - its arguments
   */
  constructor (readonly name: string, script: string, args: readonly string[]) {
    this.child = spawn(process.execPath, [script, ...args], { stdio: 'pipe' })
    this.child.stdin.on('error', () => {})
    this.exited = new Promise((resolve) => this.child.once('close', (code) => {
      this.isOver = true
      resolve(code)
    }))
    this.collect(this.child.stdout)
    this.collect(this.child.stderr)
  }

  /** Process id. */
  get pid (): number {
    return this.child.pid ?? 0
  }

  /** Whether it still runs. */
  get isRunning (): boolean {
    return !this.isOver
  }

  /** The ready line. */
  get readyLine (): ReadyLine {
    if (!this.ready) throw new Error(`${this.name} is not ready`)
    return this.ready
  }

  /**
   * Reads an address from the ready line.
   *
   * @param field - its name there
   * @returns `ip:port`
   */
  address (field: string): string {
    return String(this.readyLine[field])
  }

  /**
   * Waits for the ready line.
   *
   * @returns this process
   * @throws with its log when it ends or stays silent
   */
  async whenReady (): Promise<this> {
    const end = Date.now() + READY_TIMEOUT_MS
    while (!this.ready) {
      if (this.isOver || Date.now() > end) throw new Error(`${this.name} did not get ready:\n${this.log.join('\n')}`)
      await new Promise((resolve) => setTimeout(resolve, 5))
    }
    return this
  }

  /**
   * Sends a signal.
   *
   * @param signal - its name
   */
  signal (signal: NodeJS.Signals): void {
    if (!this.isOver && this.pid > 0) process.kill(this.pid, signal)
  }

  /** Kills it without warning and waits for its end. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.exited
  }

  /** Stops it as it stands. */
  pause (): void {
    this.signal('SIGSTOP')
  }

  /** Lets it go on after a pause. */
  resume (): void {
    this.signal('SIGCONT')
  }

  /**
   * Asks it to stop and waits for its end.
   *
   * @param timeoutMs - when it is killed instead
   * @returns the exit code; null after a signal
   */
  async stop (timeoutMs: number = STOP_TIMEOUT_MS): Promise<number | null> {
    this.resume()
    this.signal('SIGTERM')
    const timer = setTimeout(() => this.signal('SIGKILL'), timeoutMs)
    const code = await this.exited
    clearTimeout(timer)
    return code
  }

  async dispose (): Promise<void> {
    await this.stop()
  }

  private collect (stream: Readable): void {
    createInterface({ input: stream }).on('line', (line) => {
      this.ready ??= readyLineOf(line)
      this.log.push(line)
      if (this.log.length > LOG_LINES) this.log.splice(0, LOG_LINES / 2)
    })
  }
}
