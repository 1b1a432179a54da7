/** All processes of one demo, bench or test; none outlives its owner. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

import { stringify } from 'yaml'

import type { Disposable } from '../Disposables.js'
import { ChildProcess } from './ChildProcess.js'

const STANDIN = fileURLToPath(new URL('../main.js', import.meta.url))
const DAEMON = fileURLToPath(new URL('../../../../node/bin/bluebellhilld.js', import.meta.url))
const COMMAND_LINE = fileURLToPath(new URL('../../../../cli/bin/bluebellhill.js', import.meta.url))

/** Kinds of stand-in, as the command line names them. */
export type StandinKind = 'engine' | 'key-value' | 'vm-list' | 'weight-store' | 'plain'

/** Starts our processes and ends them together. */
export class ProcessSet implements Disposable {
  private readonly children: ChildProcess[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'bluebellhill-'))
  private files = 0
  private readonly killAll = (): void => {
    for (const child of this.children) child.signal('SIGKILL')
  }

  constructor () {
    process.once('exit', this.killAll)
  }

  /** Those that still run. */
  get running (): readonly ChildProcess[] {
    return this.children.filter(({ isRunning }) => isRunning)
  }

  /**
   * Starts a stand-in.
   *
   * @param kind - which
   * @param name - its name
   * @param args - further arguments by name
   * @returns the process, ready
   */
  async standin (kind: StandinKind, name: string, args: Readonly<Record<string, string | number | boolean>> = {}): Promise<ChildProcess> {
    const words = Object.entries(args).map(([argument, value]) => `--${argument}=${value}`)
    return await this.start(name, STANDIN, [kind, `--name=${name}`, '--exit-with-parent', ...words])
  }

  /**
   * Starts a daemon.
   *
   * @param name - its name
   * @param settings - its settings, written as YAML
   * @param configuration - files of the operators' configuration, for a setup without a key-value service
   * @returns the process, ready
   */
  async daemon (name: string, settings: unknown, configuration: readonly string[] = []): Promise<ChildProcess> {
    const args = ['--settings', this.writeYaml(name, settings)]
    if (configuration.length > 0) args.push('--configuration', configuration.join(','))
    return await this.start(name, DAEMON, args)
  }

  /**
   * Writes a file that lives as long as the processes.
   *
   * @param name - part of the file's name
   * @param value - what it holds
   * @returns its path
   */
  writeYaml (name: string, value: unknown): string {
    const file = join(this.folder, `${name}-${this.files++}.yaml`)
    writeFileSync(file, stringify(value))
    return file
  }

  /**
   * Starts any of our programs.
   *
   * @param name - for messages
   * @param script - path of the program
   * @param args - its arguments
   * @returns the process, ready
   */
  async start (name: string, script: string, args: readonly string[]): Promise<ChildProcess> {
    const child = new ChildProcess(name, script, args)
    this.children.push(child)
    return await child.whenReady()
  }

  /**
   * Runs the operators' command line to its end.
   *
   * @param args - its words
   * @returns what it printed
   * @throws with what it printed when it fails
   */
  async commandLine (args: readonly string[]): Promise<readonly string[]> {
    const child = new ChildProcess('bluebellhill', COMMAND_LINE, args)
    this.children.push(child)
    const code = await child.exited
    if (code !== 0) throw new Error(`bluebellhill ${args[0]} ended with ${code}:\n${child.log.join('\n')}`)
    return child.log
  }

  async dispose (): Promise<void> {
    await Promise.all(this.children.map(async (child) => await child.dispose()))
    process.off('exit', this.killAll)
    rmSync(this.folder, { recursive: true, force: true })
  }
}
