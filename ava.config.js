export default {
  files: ['packages/*/dist/tests/**/*.test.js', 'platform/dist/tests/**/*.test.js'],
  workerThreads: false,
  concurrency: 4,
  timeout: '5m'
}
