import { execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import test from 'ava'

import { SETTINGS_VARIABLE } from '@bluebellhill/platform'
import { settingsDocument } from '@bluebellhill/platform-standin'

import { runRecovery, runSoak } from '../src/index.js'

/** Seeds of the run in CI; each that ever failed stays here, with its cause. One runs at a time, so that a slow machine can run its processes. */
const SEEDS: ReadonlyArray<{ readonly seed: number, readonly cause: string }> = [
  { seed: 3, cause: 'faults that overlapped on one node ended each other in the account of the soak itself' },
  { seed: 115, cause: 'the proxy let pieces overtake others when a delay ended, which TCP never does' },
  { seed: 7, cause: 'a scheduler placed as before on a server whose request limit it had heard' },
  { seed: 10, cause: 'the check counted the leaving of a server from a moment at which no node had been told of it' },
  { seed: 292008, cause: 'servers that were back under their ids refuted the crashes of a request before their new start was known' },
  { seed: 394040, cause: 'the check counted the time for which a request waited for the one connection of its caller' }
]

test.before(() => { execFileSync(process.execPath, ['scripts/bundle.mjs']) })

/** Sends the process that starts a signal as it reads its bundle, before the program can listen to it. */
const signalDuringStart = (sent: NodeJS.Signals): string => `
const fs = require('node:fs')
const { readFileSync } = fs
fs.readFileSync = (path, ...rest) => {
  if (String(path).endsWith('bluebellhilld.cjs')) process.kill(process.pid, '${sent}')
  return readFileSync(path, ...rest)
}
require('./target/start.cjs')
`

/** Address of which no other test uses the ports. */
const HOST = '127.0.77.1'

const EXIT_BAD_SETTINGS = 1

/** Guards against the end of a node whose settings change while it starts: seed 29102 of the soak, with two deadly requests, ended so. */
test.serial('a signal to reload the settings does not end a program that is starting', async (t) => {
  const child = spawn(process.execPath, ['-e', signalDuringStart('SIGHUP')], { stdio: 'ignore', env: {} })
  const [code, signal] = await once(child, 'exit') as [number | null, string | null]
  t.deepEqual({ code, signal }, { code: EXIT_BAD_SETTINGS, signal: null })
})

/** Guards against a node that ends by the signal, as a crashed one would, because it is stopped while it starts: seed 292012 of the soak. */
test.serial('a program that is stopped while it starts ends as after any other stop', async (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'stopped-start-'))
  t.teardown(() => { rmSync(directory, { recursive: true }) })
  const settings = join(directory, 'settings.toml')
  writeFileSync(settings, settingsDocument({
    node: 'n1', host: HOST, failureDomain: 'd1', callerPort: 9_001, readinessPort: 9_002, peerPort: 9_003, store: `${HOST}:9004`, stopGraceSeconds: 1, retryRatio: 0.2, retrySlack: 10
  }))
  const child = spawn(process.execPath, ['-e', signalDuringStart('SIGTERM')], { stdio: ['ignore', 'pipe', 'inherit'], env: { [SETTINGS_VARIABLE]: settings } })
  let log = ''
  child.stdout?.on('data', (chunk) => { log += String(chunk) })
  const [code, signal] = await once(child, 'exit') as [number | null, string | null]
  t.deepEqual({ code, signal }, { code: 0, signal: null })
  t.regex(log, /node\.started[^]*node\.stopping[^]*node\.stopped/)
})

for (const [slot, { seed, cause }] of SEEDS.entries()) {
  test.serial(`seed ${seed} keeps every promise (${cause})`, async (t) => {
    t.timeout(120_000)
    const report = await runSoak({ seed, directory: 'out/soak/ci', program: 'target/start.cjs', slot })
    t.deepEqual(report.violations, [])
    t.true(report.answered > report.requests / 4)
  })
}

// Guards against a fleet that does not serve again after all of its nodes were lost at once.
test.serial('nodes that were all killed serve again', async (t) => {
  const { results, violations } = await runRecovery({ scenario: 'kill', nodes: 5, share: 1, rate: 1, seed: 1, directory: 'out/recovery/ci', program: 'target/start.cjs' })
  t.deepEqual(violations, [])
  t.true((results.served ?? 0) > 0)
})
