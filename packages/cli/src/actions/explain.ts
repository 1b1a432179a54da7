import { defineCommand } from 'citty'

import { FLEET_ARGS, durationOption, nodesOf } from '../fleet/index.js'
import { ActionError, ExitCode, Tone, outputPainter, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'
import { explain as explainEvents } from '../timeline/explain.js'
import type { Explanation } from '../timeline/explain.js'
import { gatherTimeLine } from '../timeline/gather.js'

const META: ActionMeta = {
  name: 'explain',
  description: 'Tell in a few sentences what became of one request',
  examples: [
    'bluebellhill explain 7c1f0e52 --nodes 10.0.0.1:7401,10.0.0.2:7401',
    'BLUEBELLHILL_NODES=10.0.0.1:7401 bluebellhill explain 7c1f0e52 --json'
  ]
}

const textOf = (request: string, explanation: Explanation): string => {
  const paint = outputPainter()
  const advice = explanation.advice === null ? [] : [`What to do: ${explanation.advice}`]
  const gaps = explanation.gaps.map((gap) => paint(Tone.Warning, gap))
  return [paint(Tone.Strong, `Request ${request}`), ...explanation.sentences, ...advice, ...gaps].join('\n')
}

/** Explains one request. */
export const explain = defineCommand({
  meta: META,
  args: {
    request: { type: 'positional', required: true, description: 'the request id, as in the header x-request-id or an error answer' },
    ...FLEET_ARGS
  },
  run: ({ args }) => runAction(args, async () => {
    const nodes = nodesOf(args.nodes, process.env)
    const { events, silent } = await gatherTimeLine(nodes, { request: args.request }, durationOption('timeout', args.timeout))
    if (events.length === 0) {
      const missing = silent.length === 0 ? '' : ` (${silent.map((node) => node.address).join(', ')} did not answer)`
      throw new ActionError(ExitCode.Failed, `no node holds events of request "${args.request}"${missing}`,
        'check the id; the rings hold the last minutes of traffic only, and the logs hold longer ones')
    }
    const explanation = explainEvents(events, silent)
    console.log(args.json ? JSON.stringify({ request: args.request, ...explanation }, null, 2) : textOf(args.request, explanation))
  })
})
