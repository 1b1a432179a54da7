// Runs every test, holds the failures against KNOWN-RED.txt and prints one closing line.
import { readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { spawn } from 'node:child_process'

const KNOWN_RED = 'KNOWN-RED.txt'

const ALL = ['packages/*/dist/tests/**/*.test.js', 'platform/dist/tests/**/*.test.js']

/** Tests that measure processes: they run one at a time, and only when no others run. */
const MEASURING = 'packages/*/dist/tests/crowds/*.test.js'

const readKnownRed = () => readFileSync(KNOWN_RED, 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('test: '))
  .map((line) => line.slice('test: '.length).trim())

const passed = []
const failed = []

/** Runs AVA, and returns whether it has ended without a failure. */
const runAva = async (args) => {
  const child = spawn('npx', ['--no-install', 'ava', '--tap', ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  const exited = new Promise((resolve) => child.once('exit', resolve))
  for await (const line of createInterface({ input: child.stdout })) {
    const match = /^(not )?ok \d+ - (.*?)(?: # .*)?$/.exec(line)
    if (match) (match[1] ? failed : passed).push(match[2])
    if (!match || match[1]) console.log(line)
  }
  return await exited === 0
}

/** A run that fails without a failed test has ended before its tests. */
const isSound = async (args) => {
  const failedBefore = failed.length
  return await runAva(args) || failed.length > failedBefore
}

const args = process.argv.slice(2)
const isWhole = args.length === 0
const others = await isSound(isWhole ? [...ALL, `!${MEASURING}`] : args)
const measuring = !isWhole || await isSound(['--concurrency', '1', MEASURING])

const known = readKnownRed()
const isKnown = (name) => known.some((entry) => name === entry || name.endsWith(` › ${entry}`))
const knownFailed = failed.filter(isKnown)
const newlyFailed = failed.filter((name) => !isKnown(name))
for (const name of knownFailed) console.log(`known red: ${name}`)
for (const name of newlyFailed) console.log(`FAILED: ${name}`)
for (const name of known.filter((entry) => passed.some((test) => test === entry || test.endsWith(` › ${entry}`)))) {
  console.log(`listed in ${KNOWN_RED} but passed: ${name}`)
}
const broken = newlyFailed.length > 0 || passed.length === 0 || !others || !measuring
console.log(`${passed.length} passed, ${newlyFailed.length + (broken && newlyFailed.length === 0 ? 1 : 0)} failed`)
process.exitCode = broken ? 1 : 0
