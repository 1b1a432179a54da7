import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

import test from 'ava'

import type { PlacedRunner, RunnerId, WantedModel } from '@bluebellhill/domain'

import { until } from './membershipFleet.js'
import type { PlacementCall } from './placementDaemon.js'

const DAEMON = fileURLToPath(new URL('./placementDaemon.js', import.meta.url))
const NODES = ['a', 'b']
const LIFETIME = 2_000

/** Leadership store and an engine that ignores fencing numbers; records every engine command. */
class FakePlatform {
  readonly receivedCommands: Array<{ readonly node: string, readonly fencing: number, readonly version: string | null }> = []
  runner: PlacedRunner = { runner: 'r' as RunnerId, loaded: null, loading: null, adapters: [], role: 'mixed', streams: 0, leaving: false }
  holder: string | null = null
  private token = ''
  private leaseExpiresAt = 0
  private revision = 0

  answer (node: string, call: PlacementCall): unknown {
    if (call.type === 'order') return this.applyCommand(node, call)
    const isHeld = this.leaseExpiresAt > performance.now()
    const isOwn = isHeld && this.token === call.token
    if (call.type === 'release') {
      if (isOwn) this.leaseExpiresAt = 0
      return null
    }
    if (call.type === 'acquire' ? isHeld : !isOwn) return { kind: 'refused' }
    if (call.type === 'acquire') {
      this.revision += 1
      this.token = call.token
      this.holder = node
    }
    this.leaseExpiresAt = performance.now() + LIFETIME
    return { kind: 'granted', revision: this.revision }
  }

  private applyCommand (node: string, { fencing, order }: Extract<PlacementCall, { type: 'order' }>): unknown {
    this.receivedCommands.push({ node, fencing, version: order.kind === 'load' ? order.version : null })
    if (order.kind === 'load') this.runner = { ...this.runner, loaded: { model: order.model, version: order.version } }
    return { kind: 'accepted' }
  }
}

const wantedModels = (version: string): WantedModel[] => [{ model: 'm', version, adapters: [], role: 'mixed', warmCopies: 1, urgency: 1, weightBytes: 1_000 }]

test('a leader that is paused until its lease expires sends no command after it resumes', async (t) => {
  const platform = new FakePlatform()
  const children = new Map<string, ChildProcess>()
  const sendToAll = (message: unknown): void => { for (const child of children.values()) child.send(message as object) }
  for (const node of NODES) {
    const child = fork(DAEMON, { execArgv: [] })
    children.set(node, child)
    child.on('message', (call: PlacementCall) => child.send({ type: 'answer', id: call.id, answer: platform.answer(node, call) }))
    child.send({ type: 'start', node, nodes: NODES, lifetime: LIFETIME })
  }
  const reports = setInterval(() => sendToAll({ type: 'report', runner: platform.runner }), 100)
  t.teardown(async () => {
    clearInterval(reports)
    for (const child of children.values()) {
      child.kill('SIGKILL')
      await once(child, 'exit')
    }
  })
  sendToAll({ type: 'wants', wants: wantedModels('v1') })
  await until(() => platform.runner.loaded?.version === 'v1')
  const stopped = platform.holder as string
  children.get(stopped)?.kill('SIGSTOP')
  sendToAll({ type: 'wants', wants: wantedModels('v2') })
  await until(() => platform.runner.loaded?.version === 'v2')
  t.not(platform.holder, stopped)
  const before = platform.receivedCommands.length
  // The engine loses its model without a command, so that the resumed process would have a command to send.
  platform.runner = { ...platform.runner, loaded: null }
  children.get(stopped)?.kill('SIGCONT')
  await until(() => platform.runner.loaded?.version === 'v2')
  const after = platform.receivedCommands.slice(before)
  t.deepEqual(after.filter(({ node }) => node === stopped), [])
  const numbers = platform.receivedCommands.map(({ fencing }) => fencing)
  t.deepEqual(numbers, [...numbers].sort((a, b) => a - b))
})
