/** Starts, controls and stops the processes of the membership tests. */
import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import type { DaemonCommand, MemberView } from './memberDaemon.js'

const DAEMON = fileURLToPath(new URL('./memberDaemon.js', import.meta.url))

/** One process of the test; it receives the next command only after it has answered the previous one. */
export class MemberProcess {
  address = ''
  private lastAnswer: Promise<unknown> = Promise.resolve()

  constructor (readonly node: string, readonly failureDomain: string, readonly child: ChildProcess) {}

  get port (): number {
    return Number(this.address.split(':')[1])
  }

  async ask <Reply>(command: DaemonCommand): Promise<Reply> {
    const previous = this.lastAnswer
    const answer = previous.then(async () => {
      this.child.send(command)
      const [{ reply }] = await once(this.child, 'message') as [{ reply: Reply }]
      return reply
    })
    this.lastAnswer = answer
    return await answer
  }

  async view (): Promise<MemberView> {
    return await this.ask<MemberView>({ type: 'view' })
  }

  signal (signal: NodeJS.Signals): void {
    this.child.kill(signal)
  }
}

/** Starts processes in three failure domains; the others join through the first. */
export const startProcesses = async (size: number): Promise<MemberProcess[]> => {
  const processes: MemberProcess[] = []
  for (let index = 0; index < size; index += 1) {
    const process = new MemberProcess(`n${index}`, `fd${index % 3}`, fork(DAEMON, { execArgv: [] }))
    await startProcess(process, processes[0]?.address, index)
    processes.push(process)
  }
  return processes
}

const startProcess = async (process: MemberProcess, seed: string | undefined, index: number): Promise<void> => {
  process.address = await process.ask<string>({
    type: 'start',
    options: {
      node: process.node as never,
      failureDomain: process.failureDomain as never,
      peerAddress: `127.0.0.1:${index + 1}`,
      host: '127.0.0.1',
      port: 0,
      seeds: seed === undefined ? [] : [seed],
      secrets: ['secret'],
      startedAt: Date.now(),
      seed: index + 1
    }
  })
}

export const stopProcesses = async (processes: readonly MemberProcess[]): Promise<void> => {
  for (const { child } of processes) {
    if (child.exitCode !== null || child.signalCode !== null) continue
    child.kill('SIGCONT')
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
}

/** Polls the processes until the condition is true for the view of each. */
export const untilViews = async (processes: readonly MemberProcess[], condition: (view: MemberView, process: MemberProcess) => boolean, limit = 30_000): Promise<void> => {
  const end = performance.now() + limit
  while (performance.now() < end) {
    const views = await Promise.all(processes.map(async (process) => condition(await process.view(), process)))
    if (views.every(Boolean)) return
    await delay(50)
  }
  throw new Error(`the condition was not met within ${limit} ms`)
}
