/** Benchmark of the memory and processor time that the configuration takes on one node, by the number of organisations. */
import { writeFile } from 'node:fs/promises'
import { monitorEventLoopDelay } from 'node:perf_hooks'

import { defineCommand, runMain } from 'citty'

import { ConfigurationSet } from '@bluebellhill/domain'
import type { ConfigurationEffect, ConfigurationValue, EditId, NodeId } from '@bluebellhill/domain'
import { organisationValueName } from '@bluebellhill/services'

import { ConfigurationInForce } from '../src/configuration/ConfigurationInForce.js'

const SIZES = [10, 100, 740]
const TEMPLATES = 8
const CHANGES = 50
const CHANGES_PER_DAY = 5_800
const SECONDS_PER_DAY = 86_400
const NANOSECONDS_PER_MS = 1_000_000
const BYTES_PER_MEGABYTE = 1_000_000

const textOf = (organisation: number): string => {
  const templates = Array.from({ length: TEMPLATES }, (_, index) => `  - name: template-${index}
    request: {shape: chat, typicalPromptTokens: 1500, maxPromptTokens: 16000, maxTokens: 250}
    parameters: [{name: district}, {name: language, default: mn}]
    prompt: |
      Take the order for {{district}} in {{language}}.
      {{input}}
    urgency: 2
    model: order-assistant
    deadline: 15s
    idempotent: true
`).join('')
  return `kind: organisation\nname: o${organisation}\nkeys: [{name: k, sha256: ${String(organisation).padStart(64, '0')}}]\ntemplates:\n${templates}`
}

const valueOf = (organisation: number, revision: number): ConfigurationValue => ({
  name: organisationValueName(`o${organisation}`),
  revision,
  edit: `edit-${organisation}-${revision}` as EditId,
  author: 'bench',
  editedAt: 0,
  removed: false,
  text: textOf(organisation),
  history: []
})

interface NodeConfiguration { readonly set: ConfigurationSet, readonly inForce: ConfigurationInForce }

const receive = async ({ set, inForce }: NodeConfiguration, values: readonly ConfigurationValue[]): Promise<void> => {
  await inForce.checkAll(values)
  const effects: ConfigurationEffect[] = set.handle({ type: 'received', from: 'peer' as NodeId, values })
  inForce.install(effects.flatMap((effect) => effect.type === 'install' ? [effect.value] : []))
}

const measure = async (organisations: number): Promise<Record<string, number>> => {
  globalThis.gc?.()
  const memory = process.memoryUsage().heapUsed
  const inForce = new ConfigurationInForce()
  const configuration: NodeConfiguration = { set: new ConfigurationSet((value) => inForce.check(value)), inForce }
  const eventLoopDelay = monitorEventLoopDelay({ resolution: 1 })
  eventLoopDelay.enable()
  const start = performance.now()
  await receive(configuration, Array.from({ length: organisations }, (_, index) => valueOf(index, 1)))
  const loaded = performance.now()
  eventLoopDelay.disable()
  for (let change = 0; change < CHANGES; change += 1) await receive(configuration, [valueOf(change % organisations, change + 2)])
  const changed = performance.now()
  globalThis.gc?.()
  const perChange = (changed - loaded) / CHANGES
  return {
    organisations,
    textBytes: textOf(0).length,
    loadMs: Math.round(loaded - start),
    loadPauseMsMax: eventLoopDelay.max / NANOSECONDS_PER_MS,
    changeMs: perChange,
    heapMegabytes: (process.memoryUsage().heapUsed - memory) / BYTES_PER_MEGABYTE,
    versionsBytes: JSON.stringify(configuration.set.versions()).length,
    processorShareOfADay: perChange * CHANGES_PER_DAY / SECONDS_PER_DAY / 1_000
  }
}

const main = defineCommand({
  meta: { name: 'configuration-size', description: 'Cost of the configuration on one node, by the number of organisations' },
  args: {
    json: { type: 'string', default: '', description: 'File to write the results to' }
  },
  run: async ({ args }) => {
    const figures = []
    for (const size of SIZES) figures.push(await measure(size))
    const text = JSON.stringify({ bench: 'configuration-size', figures, bounds: [] }, null, 2)
    if (args.json !== '') await writeFile(args.json, text)
    console.log(text)
  }
})

await runMain(main)
