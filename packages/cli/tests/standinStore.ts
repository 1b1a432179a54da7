/** A stand-in key-value service as a process, and nodes that tell which configuration they have in force. */
import { spawn } from 'node:child_process'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('../../../standin/dist/src/main.js', import.meta.url))

export interface StandinStore {
  readonly address: string
  setFaults (faults: Record<string, unknown>): Promise<void>
  stop (): void
}

/** Starts the stand-in; it ends with this process. */
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

export interface SampleNode {
  readonly address: string
  revisions: Record<string, number>
  stop (): void
}

/** Starts a node that answers only for its configuration. */
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
