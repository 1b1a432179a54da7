import { defineCommand } from 'citty'
import { formatProblem } from '@bluebellhill/services'

import { checkFile, checkFileReferences } from '../configuration/index.js'
import { ActionError, ExitCode, plural, runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'

const META: ActionMeta = {
  name: 'check',
  description: 'Check settings and configuration files',
  examples: ['bluebellhill check node.yaml', 'bluebellhill check fleet.yaml organisations/*.yaml', 'bluebellhill check /etc/bluebellhill/local.toml', 'bluebellhill check fleet.yaml --json'],
  notes: ['Each problem names file, line, field and what is allowed. With the file of the fleet, the names that organisations use are checked too.']
}

/** Validates settings and configuration files and prints their problems. */
export const check = defineCommand({
  meta: META,
  args: {
    file: { type: 'positional', required: true, description: 'YAML files, or TOML settings of the users’ platform' },
    json: { type: 'boolean', description: 'write JSON', default: false }
  },
  run: ({ args }) => runAction(args, async () => {
    const files = await Promise.all(args._.map(checkFile))
    const problems = [...files.flatMap((file) => file.type === 'wrong' ? file.problems : []), ...checkFileReferences(files)]
    if (args.json) console.log(JSON.stringify({ files: files.map(({ file, type }) => ({ file, type })), problems }, null, 2))
    else for (const problem of problems) process.stderr.write(`${formatProblem(problem)}\n`)
    if (problems.length > 0) throw new ActionError(ExitCode.Failed, plural(problems.length, 'problem'), 'correct the files and check again; docs/CONFIGURATION.md lists every field')
    if (!args.json) console.log(`${plural(files.length, 'file')} in order`)
  })
})
