import { defineCommand } from 'citty'
import { findCode, listCodes, resultCodesDocument } from '@bluebellhill/protocol'
import type { ResultCode } from '@bluebellhill/protocol'

import { ActionError, ExitCode, Tone, outputPainter, runAction, tableOf } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'codes',
  description: 'List the result codes, or explain one',
  examples: ['bluebellhill codes', 'bluebellhill codes 1203', 'bluebellhill codes key_in_progress --json']
}

const describeCode = (code: ResultCode): string => {
  const paint = outputPainter()
  return [
    `${paint(Tone.Strong, `${code.number} ${code.name}`)}, HTTP status ${code.status}, ran: ${code.ran.join(' or ')}${code.retry ? ', with Retry-After' : ''}`,
    code.sentence,
    `Operator: ${code.operator}`
  ].join('\n')
}

const listText = (): string => tableOf(
  ['NUMBER', 'NAME', 'STATUS', 'RAN', 'RETRY', 'MEANING'],
  listCodes().map((code) => [String(code.number), code.name, String(code.status), code.ran.join('|'), code.retry ? 'yes' : '', code.sentence]),
  outputPainter()
)

const lookUp = (text: string): ResultCode => {
  const code = findCode(text)
  if (code !== undefined) return code
  throw new ActionError(ExitCode.Failed, `there is no result code "${text}"`, 'list them with "bluebellhill codes"')
}

/** Lists the result codes, or describes one. */
export const codes = defineCommand({
  meta: META,
  args: {
    code: { type: 'positional', required: false, description: 'a number or a name' },
    json: { type: 'boolean', description: 'write JSON', default: false },
    markdown: { type: 'boolean', description: 'write the page docs/RESULT-CODES.md', default: false }
  },
  run: ({ args }) => runAction(args, () => {
    const code = args.code === undefined ? undefined : lookUp(args.code)
    if (args.json) console.log(JSON.stringify(code ?? listCodes(), null, 2))
    else if (code !== undefined) console.log(describeCode(code))
    else if (args.markdown) process.stdout.write(resultCodesDocument())
    else console.log(listText())
  })
})
