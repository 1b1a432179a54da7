import { writeFile } from 'node:fs/promises'

import { defineCommand } from 'citty'
import { EventKind, encodeEvent } from '@bluebellhill/protocol'

import { FLEET_ARGS, durationOption, parseNodeAddresses, warnOfUnresponsiveNodes } from '../fleet/index.js'
import { ActionError, ExitCode, formatCount, outputPainter, plural, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'
import { gatherMetrics, gatherTimeLine, parseFilter } from '../timeline/gather.js'
import type { MergedTimeLine } from '../timeline/gather.js'
import { mergeCounters, mergeHistograms } from '../timeline/histograms.js'
import { timeLinePage } from '../timeline/html/page.js'
import { eventLine } from '../timeline/text.js'

/** Number of event kinds in one line of the help. */
const WORDS_IN_LINE = 4

const linesOf = (words: readonly string[]): string[] =>
  Array.from({ length: Math.ceil(words.length / WORDS_IN_LINE) }, (_, line) => words.slice(line * WORDS_IN_LINE, (line + 1) * WORDS_IN_LINE).join(', '))

const META: ActionMeta = {
  name: 'timeline',
  description: 'Merge the events of all nodes into one time line',
  examples: [
    'bluebellhill timeline --nodes 10.0.0.1:7401,10.0.0.2:7401 --since 5m',
    'bluebellhill timeline --request 7c1f0e52',
    'bluebellhill timeline --kind member_changed,runner_taken_over --since 1h --json',
    'bluebellhill timeline --since 2m --html timeline.html'
  ],
  notes: ['Kinds of events:', ...linesOf(Object.values(EventKind))]
}

/** Greatest number of events that are printed unless `--limit` is given. */
const DEFAULT_LIMIT = '2000'

/** Writes a warning for each node that did not answer, and one for nodes that have more events than were read. */
const warnOfGaps = (timeLine: MergedTimeLine): void => {
  warnOfUnresponsiveNodes(timeLine.silent)
  const truncated = timeLine.nodes.filter((node) => node.truncated).map((node) => node.node)
  if (truncated.length > 0) {
    process.stderr.write(`warning: ${truncated.join(', ')} held more events than were read; narrow the filter or raise --limit\n`)
  }
}

const jsonOf = (timeLine: MergedTimeLine): string =>
  JSON.stringify({ nodes: timeLine.nodes, silent: timeLine.silent, events: timeLine.events.map(encodeEvent) }, null, 2)

const textOf = (timeLine: MergedTimeLine): string => {
  const paint = outputPainter()
  const overwritten = timeLine.nodes.reduce((sum, node) => sum + node.overwritten, 0)
  const summary = `${plural(timeLine.events.length, 'event')} of ${plural(timeLine.nodes.length, 'node')}; ${formatCount(overwritten)} older ones were overwritten.`
  return [...timeLine.events.map((event) => eventLine(event, paint)), summary].join('\n')
}

const writePage = async (file: string, timeLine: MergedTimeLine, nodes: readonly string[], timeout: number): Promise<void> => {
  const metrics = await gatherMetrics(nodes, timeout)
  const page = timeLinePage({
    timeLine,
    histograms: mergeHistograms(metrics),
    counters: mergeCounters(metrics),
    writtenAt: Date.now()
  })
  try {
    await writeFile(file, page)
  } catch (error) {
    throw new ActionError(ExitCode.Failed, `cannot write ${file}: ${error instanceof Error ? error.message : String(error)}`, 'name a file in a folder that you may write to')
  }
  process.stderr.write(`wrote ${file}: ${plural(timeLine.events.length, 'event')}; open it in a browser\n`)
}

/** Prints the merged time line of all nodes, or writes it as an HTML page. */
export const timeline = defineCommand({
  meta: META,
  args: {
    ...FLEET_ARGS,
    request: { type: 'string', valueHint: 'id', description: 'only events of this request' },
    organisation: { type: 'string', valueHint: 'name', description: 'only events of this organisation' },
    runner: { type: 'string', valueHint: 'name', description: 'only events of this runner' },
    kind: { type: 'string', valueHint: 'kind,...', description: 'only these kinds of events' },
    since: { type: 'string', valueHint: 'time', description: 'how long ago (5m), or a time in UTC' },
    until: { type: 'string', valueHint: 'time', description: 'how long ago (1m), or a time in UTC' },
    limit: { type: 'string', valueHint: 'events', description: 'greatest number of events; the newest, or the oldest after --since', default: DEFAULT_LIMIT },
    html: { type: 'string', valueHint: 'file', description: 'write one self-contained page instead' }
  },
  run: ({ args }) => runAction(args, async () => {
    const nodes = parseNodeAddresses(args.nodes, process.env)
    const timeout = durationOption('timeout', args.timeout)
    const timeLine = await gatherTimeLine(nodes, parseFilter(args, Date.now()), timeout)
    warnOfGaps(timeLine)
    if (args.html !== undefined) await writePage(args.html, timeLine, nodes, timeout)
    else console.log(args.json ? jsonOf(timeLine) : textOf(timeLine))
  })
})
