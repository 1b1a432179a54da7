/** Starts the deployed program and stand-ins as processes, and ends all of them. */
import { fork, spawn } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, openSync, readFileSync } from 'node:fs'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Root of the repository. */
export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..')

/** @returns program and arguments of the `run` line of the deploy file */
const runLine = () => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const line = /^run = "([^"]+)"$/m.exec(text)?.[1]
  if (line === undefined) throw new Error('the deploy file has no run line')
  return line.split(' ')
}

/** Processes that this one has started. */
export class Processes {
  #children = new Set()

  /**
   * Starts the deployed program in the root of the repository.
   *
   * @param settingsFile - its settings file
   * @param logFile - gets what it writes
   * @returns the process
   */
  startNode (settingsFile, logFile) {
    const [program, ...args] = runLine()
    const { PATH, HOME, LANG } = process.env
    const log = openSync(logFile, 'a')
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT, env: { PATH, HOME, LANG, BLUEBELLHILL_NODE_FILE: settingsFile }, stdio: ['ignore', log, log]
    })
    closeSync(log)
    return this.#add(child)
  }

  /**
   * Starts a stand-in that exchanges messages with this process.
   *
   * @param script - file beside this one
   * @param args - its arguments
   * @returns the process, once it has sent its first message
   */
  async startStandin (script, args) {
    const child = this.#add(fork(join(dirname(fileURLToPath(import.meta.url)), script), args, { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] }))
    await once(child, 'message')
    return child
  }

  /** Ends all processes, and waits until they are gone. */
  async dispose () {
    const open = [...this.#children]
    const ended = open.map((child) => once(child, 'exit'))
    for (const child of open) {
      child.kill('SIGKILL')
      child.kill('SIGCONT')
    }
    await Promise.all(ended)
  }

  #add (child) {
    this.#children.add(child)
    child.once('exit', () => this.#children.delete(child))
    child.on('error', () => this.#children.delete(child))
    return child
  }
}
