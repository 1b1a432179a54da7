/** Starts the stand-in key-value service in a child process, and sample nodes that report which revisions they have in force. */
import { spawn } from 'node:child_process'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('../../../standin/dist/src/main.js', import.meta.url))

/** The running stand-in key-value service. */
export interface StandinStore {
  readonly address: string
  /** Sets the faults that the service injects into later calls. */
  setFaults (faults: Record<string, unknown>): Promise<void>
  stop (): void
}

/** Starts the stand-in service; it exits when this process does. */
export const startStore = async (): Promise<StandinStore> => {
  const child = spawn(process.execPath, [PROGRAM, 'key-value', '--exit-with-parent'], { stdio: ['pipe', 'pipe', 'inherit'] })
  const line = await new Promise<string>((resolve, reject) => {
    createInterface({ input: child.stdout }).once('line', resolve)
    child.once('exit', (code) => reject(new Error(`the stand-in ended with ${code}`)))
  })
  const { address, control } = JSON.parse(line) as { address: string, control: string }
  return {
    address,
    setFaults: async (faults) => { await fetch(`http://${control}/faults`, { method: 'POST', body: JSON.stringify(faults) }) },
    stop: () => { child.kill() }
  }
}

/** A sample node; `revisions` is its reply for the configuration and may be changed. */
export interface SampleNode {
  readonly address: string
  revisions: Record<string, number>
  stop (): void
}

/** Starts a node that replies to every request with its configuration revisions. */
export const startNode = async (name: string): Promise<SampleNode> => {
  const server = createServer((_request, response) => { response.end(JSON.stringify({ node: name, revisions: node.revisions })) })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const node: SampleNode = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    revisions: {},
    stop: () => {
      server.closeAllConnections()
      server.close()
    }
  }
  return node
}
