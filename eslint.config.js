// Code rules: Standard without its formatting part, the direction of imports between packages,
// and the purity of the decision logic in `domain`.
import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'

const allowedImports = {
  domain: [],
  protocol: ['domain'],
  services: ['domain', 'protocol'],
  platform: ['domain', 'services'],
  node: ['domain', 'protocol', 'services', 'platform'],
  cli: ['protocol', 'services', 'platform'],
  standin: ['protocol'],
  'platform-standin': ['platform'],
  soak: ['platform', 'platform-standin']
}

const packageNames = Object.keys(allowedImports)

/** The adapter of the users' platform stands beside the packages, and its stand-in within it. */
const FOLDERS = { platform: 'platform', 'platform-standin': 'platform/standin' }
const folderOf = (name) => FOLDERS[name] ?? `packages/${name}`

const importDirection = packageNames.map((name) => ({
  name: `import direction of ${name}`,
  files: [`${folderOf(name)}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: [
        {
          group: packageNames
            .filter((other) => !allowedImports[name].includes(other))
            .map((other) => `@bluebellhill/${other}`),
          message: `${folderOf(name)} may import ${allowedImports[name].join(', ') || 'no package of ours'}.`
        },
        {
          group: ['@bluebellhill/*/*', '**/packages/*'],
          message: 'A package is entered by its index only.'
        },
        ...(name === 'domain'
          ? [{ group: ['node:*', 'fs', 'net', 'http', 'dgram', 'crypto', 'timers', 'perf_hooks'], message: 'The decision logic does no input or output.' }]
          : [])
      ]
    }]
  }
}))

const clockAndRandom = ['Date', 'performance', 'setTimeout', 'setInterval', 'setImmediate', 'queueMicrotask', 'process', 'crypto', 'fetch']

export default [
  ...neostandard({ ts: true, noStyle: true, ignores: ['**/dist/**', '**/generated/**', 'out/**', 'target/**', 'journal/**'] }),
  ...tseslint.configs.recommended.map((config) => ({ ...config, files: ['packages/**/*.ts', 'platform/**/*.ts'] })),
  {
    name: 'house rules',
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-explicit-any': 'error',
      'no-void': 'off',
      // A constant object and its derived union type share a name.
      'no-redeclare': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      'no-restricted-syntax': ['error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object and a derived union type.' },
        { selector: 'ExportDefaultDeclaration', message: 'Use named exports.' }
      ]
    }
  },
  ...importDirection,
  {
    name: 'purity of the decision logic',
    files: ['packages/domain/src/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', ...clockAndRandom.map((name) => ({
        name,
        message: 'The decision logic takes the time as `now` and randomness from a seeded generator.'
      }))],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random', message: 'Pass in a seeded generator.' }]
    }
  }
]
