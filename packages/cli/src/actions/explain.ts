import { defineCommand } from 'citty'

import { readText } from '../configuration/index.js'
import { FLEET_ARGS, durationOption, parseNodeAddresses } from '../fleet/index.js'
import { ActionError, ExitCode, Tone, outputPainter, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'
import { explainLogged, parseDecisionLog } from '../timeline/decisionLog.js'
import type { LoggedRequest } from '../timeline/decisionLog.js'
import { explain as explainEvents } from '../timeline/explain.js'
import type { Explanation } from '../timeline/explain.js'
import { gatherTimeLine } from '../timeline/gather.js'

const META: ActionMeta = {
  name: 'explain',
  description: 'Explain in a few sentences what happened to one request',
  examples: [
    'bluebellhill explain 7c1f0e52 --nodes 10.0.0.1:7401,10.0.0.2:7401',
    'BLUEBELLHILL_NODES=10.0.0.1:7401 bluebellhill explain 7c1f0e52 --json',
    'bluebellhill explain 9c41d07be2a35f68 --log node-1.log,node-2.log'
  ]
}

const textOf = (request: string, explanation: Explanation): string => {
  const paint = outputPainter()
  const advice = explanation.advice === null ? [] : [`What to do: ${explanation.advice}`]
  const gaps = explanation.gaps.map((gap) => paint(Tone.Warning, gap))
  return [paint(Tone.Strong, `Request ${request}`), ...explanation.sentences, ...advice, ...gaps].join('\n')
}

const loggedTextOf = (request: string, { sentences, meanwhile }: LoggedRequest): string => {
  const paint = outputPainter()
  const background = meanwhile.length === 0 ? [] : [paint(Tone.Strong, 'Shortly before and meanwhile'), ...meanwhile]
  return [paint(Tone.Strong, `Request ${request}`), ...sentences, ...background].join('\n')
}

const explainFromLog = async (request: string, files: string, json: boolean): Promise<void> => {
  const texts = await Promise.all(files.split(',').map(readText))
  const explanation = explainLogged(parseDecisionLog(texts.join('\n')), request)
  if (explanation === null) {
    throw new ActionError(ExitCode.Failed, `no line names request "${request}"`, 'check the id, and give the logs of all entry VMs; if no log names it, the request reached no node')
  }
  console.log(json ? JSON.stringify({ request, ...explanation }, null, 2) : loggedTextOf(request, explanation))
}

/** Explains what happened to one request, from the time lines of all nodes or from decision logs. */
export const explain = defineCommand({
  meta: META,
  args: {
    request: { type: 'positional', required: true, description: 'the request id, from the header x-request-id or an error response' },
    ...FLEET_ARGS,
    log: { type: 'string', valueHint: 'file,...', description: 'read the decision log of the users’ platform instead of calling the nodes' }
  },
  run: ({ args }) => runAction(args, async () => {
    if (args.log !== undefined) {
      await explainFromLog(args.request, args.log, args.json)
      return
    }
    const nodes = parseNodeAddresses(args.nodes, process.env)
    const { events, silent } = await gatherTimeLine(nodes, { request: args.request }, durationOption('timeout', args.timeout))
    if (events.length === 0) {
      const missing = silent.length === 0 ? '' : ` (${silent.map((node) => node.address).join(', ')} did not answer)`
      throw new ActionError(ExitCode.Failed, `no node holds events of request "${args.request}"${missing}`,
        'check the id; the ring buffers keep only the last minutes of traffic, and the logs cover a longer time')
    }
    const explanation = explainEvents(events, silent)
    console.log(args.json ? JSON.stringify({ request: args.request, ...explanation }, null, 2) : textOf(args.request, explanation))
  })
})
