/** Runs the command line in a child process. */
import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('../../bin/bluebellhill.js', import.meta.url))

export interface CommandResult {
  readonly exitCode: number | null
  readonly output: string
  readonly errors: string
}

/** Runs one action with its standard output closed before anything is read. */
export const runWithClosedOutput = (args: readonly string[]): Promise<CommandResult> => new Promise((resolve, reject) => {
  const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH } })
  child.stdout.destroy()
  let errors = ''
  child.stderr.on('data', (chunk) => { errors += String(chunk) })
  child.on('error', reject)
  child.on('close', (exitCode) => resolve({ exitCode, output: '', errors }))
})

/** Runs one action. The child process inherits only PATH, so that no variable of a real fleet affects it. */
export const runCommand = (args: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<CommandResult> => new Promise((resolve, reject) => {
  const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, ...environment } })
  let output = ''
  let errors = ''
  child.stdout.on('data', (chunk) => { output += String(chunk) })
  child.stderr.on('data', (chunk) => { errors += String(chunk) })
  child.on('error', reject)
  child.on('close', (exitCode) => resolve({ exitCode, output, errors }))
})
