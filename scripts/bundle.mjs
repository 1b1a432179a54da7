// Bundles the node for the users' platform into one file, so that a start reads and compiles little.
import { build } from 'esbuild'

await build({
  entryPoints: ['packages/node/src/forward/main.ts'],
  outfile: 'target/bluebellhilld.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  keepNames: true,
  sourcemap: false,
  legalComments: 'none',
  // CommonJS libraries in an ES module need `require`.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  alias: Object.fromEntries(['domain', 'protocol', 'services'].map((name) => [`@bluebellhill/${name}`, `./packages/${name}/src/index.ts`]).concat([['@bluebellhill/platform', './platform/src/index.ts']]))
})
