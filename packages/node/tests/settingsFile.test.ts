import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import test from 'ava'

import { LogLevel, openLog } from '../src/log/index.js'
import { readSettings, SettingsFile } from '../src/forward/SettingsFile.js'
import { LineCollector } from './forwardFixture.js'

const text = (grace: number, ratio: number, port: number): string => `
node_name = "edge-1"
ip = "10.1.0.40"
zone = "hall"
internal_ports = [7340, 7355]
[listen]
frontend = "10.1.0.40:${port}"
ready = "10.1.0.40:8220"
[bounds]
grace_s = ${grace}
retry_budget_ratio = ${ratio}
budget_slack = 106
[platform]
address = "10.200.1.7:8223"
`

const open = (): { file: SettingsFile, write: (contents: string) => void, lines: string[] } => {
  const path = join(mkdtempSync(join(tmpdir(), 'settings-')), 'local.toml')
  const write = (contents: string): void => writeFileSync(path, contents)
  write(text(8, 0.2, 80))
  const settings = readSettings(path)
  if (!settings.ok) throw new Error('the settings cannot be read')
  const lines: string[] = []
  const log = openLog({ node: 'n', failureDomain: 'd', level: LogLevel.Info, transport: new LineCollector(lines) })
  return { file: new SettingsFile(path, settings.value, log), write, lines }
}

test('changed retry limits and stop grace are in force after a reload', (t) => {
  const { file, write, lines } = open()
  write(text(5, 0.1, 80))
  file.reload('SIGHUP')
  t.like(file.current, { stopGrace: 5_000, retryRatio: 0.1, callers: { host: '10.1.0.40', port: 80 } })
  t.regex(lines.join('\n'), /settings\.reloaded.*SIGHUP.*stopGrace,retryRatio/)
})

test('changed addresses are not applied before a restart, and the log lists them', (t) => {
  const { file, write, lines } = open()
  write(text(8, 0.2, 81))
  file.reload('change')
  t.is(file.current.callers.port, 80)
  t.regex(lines.join('\n'), /after_restart.*callers/)
})

test('an invalid file leaves the settings unchanged', (t) => {
  const { file, write, lines } = open()
  write('node_name = ')
  file.reload('SIGHUP')
  t.is(file.current.stopGrace, 8_000)
  t.regex(lines.join('\n'), /settings\.unusable/)
})

test('a changed share of hedged requests is in force after a reload', (t) => {
  const { file, write } = open()
  t.is(file.current.hedgingMaxRatio, null)
  write(`${text(8, 0.2, 80)}[hedging]\nmax_ratio = 0.02\n`)
  file.reload('SIGHUP')
  t.is(file.current.hedgingMaxRatio, 0.02)
  write(`${text(8, 0.2, 80)}[hedging]\nmax_ratio = 2\n`)
  file.reload('SIGHUP')
  t.is(file.current.hedgingMaxRatio, 0.02)
})
