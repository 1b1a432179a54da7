import test from 'ava'
import fc from 'fast-check'
import { build, decodeFromCompressedBase64 } from 'hdr-histogram-js'
import { OutcomeKind, Ran } from '@bluebellhill/domain'
import { DropCause, HistogramName } from '@bluebellhill/protocol'

import { CountingKeyValueService, HIGHEST_VALUE, Metrics, histogramsReply, lengthClassOf } from '../src/index.js'
import { FakeKeyValue } from './fakeKeyValue.js'
import type { FailureDomain } from '@bluebellhill/domain'
import type { Watch } from '@bluebellhill/services'

const measured = fc.record({ promptTokens: fc.integer({ min: 1, max: 2_000_000 }), elapsed: fc.integer({ min: 0, max: HIGHEST_VALUE }) })

test('merged histograms of several nodes equal the histogram of one node that recorded all values', (t) => {
  fc.assert(fc.property(fc.array(fc.array(measured, { maxLength: 30 }), { minLength: 1, maxLength: 4 }), (nodes) => {
    const whole = new Metrics()
    const histogramsByNode = nodes.map((values) => {
      const metrics = new Metrics()
      for (const value of values) {
        metrics.recordFirstToken(value.promptTokens, value.elapsed)
        whole.recordFirstToken(value.promptTokens, value.elapsed)
      }
      return metrics.encodeHistograms()
    })
    return whole.encodeHistograms().every((expected) => {
      const sum = build({ highestTrackableValue: HIGHEST_VALUE, numberOfSignificantValueDigits: 2 })
      for (const histogram of histogramsByNode.flat().filter((encoded) => encoded.length === expected.length)) sum.add(decodeFromCompressedBase64(histogram.encoded))
      const all = decodeFromCompressedBase64(expected.encoded)
      return sum.totalCount === expected.count && [50, 95, 99].every((quantile) => sum.getValueAtPercentile(quantile) === all.getValueAtPercentile(quantile))
    })
  }), { seed: 651, numRuns: 100 })
  t.pass()
})

test('any number can be recorded without an error', (t) => {
  fc.assert(fc.property(fc.double(), fc.double(), fc.double(), (promptTokens, elapsed, expected) => {
    const metrics = new Metrics()
    metrics.recordFirstToken(promptTokens, elapsed)
    metrics.recordQueueDelay(promptTokens, elapsed)
    metrics.recordSlowdown(promptTokens, elapsed, expected)
    return metrics.encodeHistograms().every((histogram) => histogram.count === 1)
  }), { seed: 652, numRuns: 300 })
  t.pass()
})

test('a prompt belongs to the first length class whose bound it does not exceed', (t) => {
  t.deepEqual([1, 4_000, 4_001, 32_000, 100_000, 100_001, 1_048_576, 5_000_000].map(lengthClassOf),
    ['under_4k', 'under_4k', '4k_32k', '4k_32k', '32k_100k', '100k_1m', '100k_1m', '100k_1m'])
})

test('the slowdown is recorded for short requests only', (t) => {
  const metrics = new Metrics()
  metrics.recordSlowdown(4_000, 240, 200)
  metrics.recordSlowdown(4_001, 240, 200)
  const [slowdown] = metrics.encodeHistograms()
  t.is(slowdown?.name, HistogramName.ShortSlowdown)
  t.is(slowdown?.count, 1)
  const value = decodeFromCompressedBase64(slowdown!.encoded).getValueAtPercentile(50)
  t.true(Math.abs(value - 1_200) <= 12)
})

test('the Prometheus text and the admin reply contain every counter', async (t) => {
  const metrics = new Metrics()
  metrics.countOutcome(OutcomeKind.Overloaded, Ran.No)
  metrics.countOutcome(OutcomeKind.Overloaded, Ran.No)
  metrics.countAttempt('fresh')
  metrics.countDroppedAnswer(DropCause.Late)
  metrics.countStoreCall('txn', 'ok')
  metrics.countOrder('granted')
  metrics.countRelayed(7, 100)
  metrics.recordFirstToken(100, 250)
  metrics.addGauge('requests_in_progress', 'Requests in progress', () => 4)
  const text = await metrics.toPrometheusText()
  t.true(text.includes('bluebellhill_requests_total{code="overloaded",number="1203",ran="no"} 2\n'))
  t.true(text.includes('bluebellhill_answers_dropped_total{cause="late"} 1\n'))
  t.true(text.includes('bluebellhill_generated_tokens_total 7\n'))
  t.true(text.includes('bluebellhill_requests_in_progress 4\n'))
  t.regex(text, /bluebellhill_first_token_seconds\{length="under_4k",quantile="0.95"\} 0\.25\d?\n/)
  const reply = await histogramsReply(metrics, 'n1', 'sohar' as FailureDomain, 5)
  t.deepEqual(reply.counters.find((counter) => counter.name === 'bluebellhill_store_calls_total'), {
    name: 'bluebellhill_store_calls_total', labels: { operation: 'txn', result: 'ok' }, value: 1
  })
  t.is(reply.histograms.length, 1)
})

test('calls to the key-value service are counted by operation and result, a watch once', async (t) => {
  const metrics = new Metrics()
  const store = new FakeKeyValue()
  const counted = new CountingKeyValueService(store, metrics)
  await counted.range({ key: 'a' })
  await counted.compareAndSwap('a', 0, Buffer.from('1'))
  let watch: Watch | null = null
  await new Promise<void>((resolve) => {
    watch = counted.watch({ key: 'a' }, { opened: () => resolve(), changed: () => {}, closed: () => {} })
  })
  store.goDown()
  await counted.range({ key: 'a' })
  t.truthy(watch)
  const calls = (await metrics.readCounters()).filter((counter) => counter.name === 'bluebellhill_store_calls_total')
  t.deepEqual(calls.map(({ labels, value }) => [labels.operation, labels.result, value]).sort(), [
    ['range', 'not_sent', 1],
    ['range', 'ok', 1],
    ['transact', 'ok', 1],
    ['watch', 'ok', 1]
  ])
})
