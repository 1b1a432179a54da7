import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import test from 'ava'
import { ErrorType, EventKind, listCodes } from '@bluebellhill/protocol'

import { BROKEN_REQUEST, sampleRun, serveFleet } from './sampleFleet.js'
import { runCommand, runWithClosedOutput } from './runCommand.js'

const CLOSED_ADDRESS = '127.0.0.1:9999'

const withFleet = async (body: (nodes: string, drained: string[]) => Promise<void>): Promise<void> => {
  const fleet = await serveFleet(sampleRun())
  try {
    await body(fleet.addresses.join(','), fleet.drained)
  } finally {
    await fleet.stop()
  }
}

test('the time line merges the events of all nodes in order and names the node that did not answer', async (t) => withFleet(async (nodes) => {
  const { exitCode, output, errors } = await runCommand(['timeline', '--json', '--nodes', `${nodes},${CLOSED_ADDRESS}`])
  const merged = JSON.parse(output)
  t.is(exitCode, 0)
  t.is(merged.events.length, sampleRun().events.length)
  t.true(merged.events.every((event: { stamp: string }, index: number) => index === 0 || BigInt(merged.events[index - 1].stamp) < BigInt(event.stamp)))
  t.is(merged.silent[0].address, CLOSED_ADDRESS)
  t.regex(errors, /warning: 127\.0\.0\.1:9999 did not answer: connection refused/)
}))

test('the time line is filtered and limited over all nodes', async (t) => withFleet(async (nodes) => {
  const one = await runCommand(['timeline', '--request', BROKEN_REQUEST], { BLUEBELLHILL_NODES: nodes })
  t.true(one.output.trim().split('\n').slice(0, -1).every((line) => line.includes(BROKEN_REQUEST)))
  const newest = JSON.parse((await runCommand(['timeline', '--limit', '3', '--json', '--nodes', nodes])).output)
  t.deepEqual(newest.events.map((event: { kind: string }) => event.kind), [EventKind.FirstToken, EventKind.AttemptCompleted, EventKind.RequestFinished])
}))

test('the page is written to the named file, with the histograms of all nodes', async (t) => withFleet(async (nodes) => {
  const folder = await mkdtemp(join(tmpdir(), 'timeline-'))
  const file = join(folder, 'page.html')
  const written = await runCommand(['timeline', '--html', file, '--nodes', nodes])
  const page = await readFile(file, 'utf8')
  await rm(folder, { recursive: true })
  t.is(written.exitCode, 0)
  t.regex(page, /Time to first token, under 4 k tokens/)
  t.regex(page, /800 values/)
  const refused = await runCommand(['timeline', '--html', join(folder, 'nowhere', 'page.html'), '--nodes', nodes])
  t.is(refused.exitCode, 1)
  t.regex(refused.errors, /cannot write .*\n next: name a file/)
}))

test('explain, status and top write text without colours in a pipe, and JSON', async (t) => withFleet(async (nodes) => {
  for (const args of [['explain', BROKEN_REQUEST], ['status'], ['top']]) {
    const text = await runCommand([...args, '--nodes', nodes], { FORCE_COLOR: '' })
    t.is(text.exitCode, 0)
    t.false(text.output.includes('\u001b'))
    const json = await runCommand([...args, '--json', '--nodes', nodes])
    t.is(typeof JSON.parse(json.output), 'object')
  }
  const status = JSON.parse((await runCommand(['status', '--json', '--nodes', nodes])).output)
  t.deepEqual(status.findings, [
    'saham-1 is draining, with 3 requests in progress',
    'barka-2 (barka) is unreachable for barka-1, saham-1, sohar-1, sohar-2',
    'the key-value service does not answer barka-1 since 2026-12-03 20:00:00.000 UTC',
    'the configuration of orders differs: revision 117 on barka-1; 118 on saham-1, sohar-1, sohar-2',
    'sohar-2 met 2 stamps of peers whose clock is far ahead; the time line names them as clock_distrusted',
    'runner barka-1-g2 (barka) is loading, says its dispatcher barka-1'
  ])
}))

test('drain calls only the named node and waits until it has stopped', async (t) => withFleet(async (nodes, drained) => {
  const [first] = nodes.split(',')
  const two = await runCommand(['drain', nodes])
  t.is(two.exitCode, 2)
  t.deepEqual(drained, [])
  const one = await runCommand(['drain', first!, '--wait', '20s'])
  t.is(one.exitCode, 0)
  t.deepEqual(drained, ['sohar-1'])
  t.is(one.output.trim(), 'sohar-1 has stopped.')
}))

test('every error sets its exit code and prints what to do next', async (t) => {
  const cases: ReadonlyArray<readonly [string[], number]> = [
    [[], 2],
    [['nothing'], 2],
    [['explain'], 2],
    [['status'], 2],
    [['status', '--nodes', 'sohar-1:7401'], 2],
    [['status', '--nodes', '127.0.0.1:70000'], 2],
    [['codes', '--organization', 'x'], 2],
    [['timeline', '--nodes', CLOSED_ADDRESS, '--since', 'yesterday'], 2],
    [['timeline', '--nodes', CLOSED_ADDRESS, '--kind', 'none'], 2],
    [['timeline', '--nodes', CLOSED_ADDRESS, '--limit', '0'], 2],
    [['status', '--nodes', CLOSED_ADDRESS, '--timeout', '0s'], 2],
    [['status', '--nodes', CLOSED_ADDRESS], 3],
    [['codes', '9999'], 1]
  ]
  for (const [args, expected] of cases) {
    const { exitCode, errors, output } = await runCommand(args)
    t.is(exitCode, expected, args.join(' '))
    if (args.length > 0) t.regex(errors, /^error: .+\n next: .+\n$/, args.join(' '))
    else t.regex(output, /USAGE/)
  }
  await withFleet(async (nodes) => {
    const { exitCode, errors } = await runCommand(['explain', 'no-such-request', '--json', '--nodes', nodes])
    t.is(exitCode, 1)
    t.regex(JSON.parse(errors).error.next, /check the id/)
  })
})

test('help of every action shows examples that name the action', async (t) => {
  for (const action of ['status', 'top', 'timeline', 'explain', 'drain', 'codes']) {
    const { exitCode, output } = await runCommand([action, '--help'])
    t.is(exitCode, 0)
    t.regex(output, new RegExp(`EXAMPLES\\n\\n {2}.*bluebellhill ${action}`))
  }
})

test('codes lists the whole table, as text and as JSON', async (t) => {
  const { output } = await runCommand(['codes'])
  const listed = JSON.parse((await runCommand(['codes', '--json'])).output)
  t.is(listed.length, listCodes().length)
  t.true(listCodes().every((code) => output.includes(`${code.number}  ${code.name}`)))
  t.is(JSON.parse((await runCommand(['codes', '1203', '--json'])).output).type, ErrorType.Server)
})

test('a reader that closes the pipe early causes no error', async (t) => {
  t.like(await runWithClosedOutput(['codes', '--markdown']), { exitCode: 0, errors: '' })
})
