/** Starts `bluebellhilld` as a child process for tests. */
import { spawn } from 'node:child_process'
import { createSocket } from 'node:dgram'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('../../bin/bluebellhilld.js', import.meta.url))

export interface DaemonProcess {
  /** `ip:port` of the caller interface. */
  readonly caller: string
  readonly admin: string
  /** Sends a signal such as SIGSTOP, SIGCONT or SIGKILL. */
  signal (name: NodeJS.Signals): void
  /** Resolves when the process has exited. */
  readonly ended: Promise<void>
}

/** Returns the number of a UDP port on loopback that was free at the time of the call. */
export const freeUdpPort = async (): Promise<number> => {
  const socket = createSocket('udp4')
  await new Promise<void>((resolve) => socket.bind(0, '127.0.0.1', resolve))
  const { port } = socket.address()
  await new Promise<void>((resolve) => socket.close(() => resolve()))
  return port
}

/**
 * Starts a node in a child process and waits until it is ready.
 *
 * @param settings - settings of the node as YAML text
 */
export const startDaemon = async (settings: string): Promise<DaemonProcess> => {
  const folder = await mkdtemp(join(tmpdir(), 'bluebellhill-'))
  const file = join(folder, 'settings.yaml')
  await writeFile(file, settings)
  const child = spawn(process.execPath, [PROGRAM, '--settings', file], { stdio: ['ignore', 'pipe', 'inherit'] })
  process.once('exit', () => child.kill('SIGKILL'))
  const ended = new Promise<void>((resolve) => child.once('exit', () => resolve()))
  const line = await new Promise<string>((resolve, reject) => {
    createInterface({ input: child.stdout }).once('line', resolve)
    child.once('exit', (code) => reject(new Error(`the node exited with code ${code} before it was ready`)))
  })
  const { caller, admin } = JSON.parse(line) as { caller: string, admin: string }
  return { caller, admin, ended, signal: (name) => { child.kill(name) } }
}
