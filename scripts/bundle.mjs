// Bundles the node for the users' platform into `target/`: one file, with V8's code cache beside it, so that a start reads,
// parses and compiles little.
import { readFileSync, writeFileSync } from 'node:fs'
import Module, { createRequire } from 'node:module'
import { Script } from 'node:vm'

import { build } from 'esbuild'

const BUNDLE = 'target/bluebellhilld.cjs'
const CACHE = 'target/bluebellhilld.cache'
const START = 'target/start.cjs'

const packages = ['domain', 'protocol', 'services']
const alias = Object.fromEntries(packages.map((name) => [`@bluebellhill/${name}`, `./packages/${name}/src/index.ts`]))

await build({
  entryPoints: ['packages/node/src/forward/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  alias: { ...alias, '@bluebellhill/platform': './platform/src/index.ts' }
})

// Once its modules are loaded, the cache holds what their loading compiled.
const script = new Script(Module.wrap(readFileSync(BUNDLE, 'utf8')), { filename: BUNDLE })
const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, createRequire(import.meta.url), bundle, BUNDLE, '')
writeFileSync(CACHE, script.createCachedData())

writeFileSync(START, `// Loads the bundle with its code cache; V8 compiles it anew where the cache does not fit.
// Until the program listens to them, signals would end the process. They are delivered once the statements below are done: by then it does.
for (const signal of ['SIGHUP', 'SIGTERM']) process.on(signal, () => {})
const { readFileSync } = require('node:fs')
const { wrap } = require('node:module')
const { Script } = require('node:vm')
const script = new Script(wrap(readFileSync('${BUNDLE}', 'utf8')), { filename: '${BUNDLE}', cachedData: readFileSync('${CACHE}') })
const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, require, bundle, '${BUNDLE}', '')
bundle.exports.runForwardNode()
`)
process.exit(0)
