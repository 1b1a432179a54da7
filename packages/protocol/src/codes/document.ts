/** The page of result codes, made from the table. */
import { RESULT_CODES } from './resultCodes.js'
import type { ResultCode } from './types.js'

const HEADER = `# Result codes

Made from \`packages/protocol/src/codes/resultCodes.ts\` by \`bluebellhill codes --markdown\`; a test holds the two together.

Every request ends with one of these codes. An error answer carries it as
\`{"error":{"message","type","code","number","ran","request_id","retry_after_ms"}}\`, also as the last event of a stream
that could not be finished. \`ran\` says whether a backend server executed the request:

- \`no\`: it did not run. Sending it again cannot run it twice.
- \`yes\`: it ran, in part or whole.
- \`unknown\`: bytes had left for a backend server and no answer told what became of them.

\`Retry-After\` (seconds) and \`retry_after_ms\` go with the codes marked "retry". The header \`x-should-retry\` is \`true\` only
where the request did not run and a later try can help; the official OpenAI clients obey it. A call with an
\`Idempotency-Key\` is always repeated with the same key.
`

const cell = (text: string): string => text.replaceAll('|', '\\|')

const row = (code: ResultCode): string => {
  const cells = [code.number, `\`${code.name}\``, code.status, code.ran.join(', '), code.retry ? 'retry' : '', code.sentence, code.operator]
  return `| ${cells.map((value) => cell(String(value))).join(' | ')} |`
}

/**
 * Lists the result codes by number.
 *
 * @returns every code once
 */
export const listCodes = (): ResultCode[] => Object.values(RESULT_CODES).sort((left, right) => left.number - right.number)

/**
 * Writes the page of result codes.
 *
 * @returns the page in Markdown
 */
export const resultCodesDocument = (): string => [
  HEADER,
  '| number | name | status | ran | retry | what the caller reads | what an operator does |',
  '|---|---|---|---|---|---|---|',
  ...listCodes().map(row),
  ''
].join('\n')
