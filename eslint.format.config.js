// Formatting only: Standard style. `npm run format` rewrites, `npm run format:check` verifies.
import neostandard from 'neostandard'

export default neostandard({
  ts: true,
  ignores: ['**/dist/**', '**/generated/**', 'target/**', 'journal/**', 'out/**']
}).map((config) => Object.keys(config).every((key) => key === 'ignores' || key === 'name')
  ? config
  : ({
      ...config,
      linterOptions: { reportUnusedDisableDirectives: 'off' },
      rules: Object.fromEntries(
        Object.entries(config.rules ?? {}).filter(([name]) => name.startsWith('@stylistic/'))
      )
    }))
