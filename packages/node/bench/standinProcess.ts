/** Starts a stand-in for a platform service as a child process. */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const STANDIN_PROGRAM = fileURLToPath(new URL('../../../standin/dist/src/main.js', import.meta.url))

/** A running stand-in. */
export interface StandinProcess {
  /** `ip:port` of the simulated service. */
  readonly address: string
  /** `ip:port` of the control interface, which serves the ledger of calls and sets faults. */
  readonly control: string
  ledger (): Promise<Record<string, unknown>>
  setFaults (faults: Record<string, unknown>): Promise<void>
  stop (): void
}

/**
 * Starts a stand-in.
 *
 * @param args - the command line arguments
 * @returns the running process
 */
export const startStandin = async (...args: string[]): Promise<StandinProcess> => {
  const child = spawn(process.execPath, [STANDIN_PROGRAM, ...args, '--exit-with-parent'], { stdio: ['pipe', 'pipe', 'inherit'] })
  const lines = createInterface({ input: child.stdout })
  const line = await new Promise<string>((resolve, reject) => {
    lines.once('line', resolve)
    child.once('exit', (code) => reject(new Error(`the stand-in exited with code ${code}`)))
  })
  const { address, control } = JSON.parse(line) as { address: string, control: string }
  return {
    address,
    control,
    ledger: async () => await (await fetch(`http://${control}/ledger`)).json() as Record<string, unknown>,
    setFaults: async (faults) => { await fetch(`http://${control}/faults`, { method: 'POST', body: JSON.stringify(faults) }) },
    stop: () => { child.kill() }
  }
}
