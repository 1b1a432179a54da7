import { createHash } from 'node:crypto'
import { text } from 'node:stream/consumers'

import { defineCommand } from 'citty'

import { ActionError, ExitCode, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'hash',
  description: 'Hash an API key for an organisation\'s file',
  examples: ['printf %s "$API_KEY" | bluebellhill hash', 'bluebellhill hash < key.txt'],
  notes: ['The key is read from standard input, so that it appears neither in the process list nor in the shell history.']
}

const MIN_KEY_LENGTH = 20

/** Prints the SHA-256 hash of an API key from standard input. */
export const hash = defineCommand({
  meta: META,
  args: {
    json: { type: 'boolean', description: 'write JSON', default: false }
  },
  run: ({ args }) => runAction(args, async () => {
    const key = (await text(process.stdin)).trim()
    if (key.length < MIN_KEY_LENGTH) throw new ActionError(ExitCode.Failed, `the key has fewer than ${MIN_KEY_LENGTH} characters`, 'generate one with "openssl rand -hex 24"')
    const sha256 = createHash('sha256').update(key).digest('hex')
    console.log(args.json ? JSON.stringify({ sha256 }) : sha256)
  })
})
