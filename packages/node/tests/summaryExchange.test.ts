import test from 'ava'
import fc from 'fast-check'

import type { DispatchSummary } from '@bluebellhill/domain'

import { decodeGossip, decodeSummary, encodeSummaries, verifyDatagram, signDatagram, SummaryExchange } from '../src/index.js'
import { startFleet, until } from './membershipFleet.js'

const SEED = 20_261_203

const summaryOf = (model: string, runners: number): DispatchSummary => ({
  model, runners, freeTokens: 10_240 * runners, freeSlots: runners, largestPrompt: 102_400, queueDelay: [10, 20, 30, 40], prefillRate: 1_000 * runners
})

test('encoding and decoding changes summaries only by rounding', (t) => {
  const amount = fc.nat(10_000_000)
  const any = fc.record({ model: fc.string({ maxLength: 20 }), runners: fc.nat(500), freeTokens: amount, freeSlots: fc.nat(5_000), largestPrompt: amount, queueDelay: fc.tuple(amount, amount, amount, amount), prefillRate: amount })
  t.notThrows(() => fc.assert(fc.property(fc.uniqueArray(any, { minLength: 1, maxLength: 12, selector: ({ model }) => model }), (summaries) => {
    const bytes = encodeSummaries(summaries)
    return summaries.every((given) => {
      const read = decodeSummary(given.model, bytes)
      return read !== null && read.runners === given.runners && read.freeTokens <= given.freeTokens && given.freeTokens - read.freeTokens < 1_024 &&
        read.queueDelay.every((delay, index) => delay >= (given.queueDelay[index] ?? 0) && delay < (given.queueDelay[index] ?? 0) + 10)
    })
  }), { seed: SEED, numRuns: 300 }))
})

test('arbitrary bytes do not crash the decoder, and modified datagrams are rejected', (t) => {
  t.notThrows(() => fc.assert(fc.property(fc.uint8Array({ maxLength: 1_200 }), (bytes) => {
    try {
      decodeGossip(bytes)
    } catch (error) {
      if (!(error instanceof Error)) return false
    }
    return verifyDatagram(['secret'], bytes) === null
  }), { seed: SEED, numRuns: 2_000 }))
  const sealed = signDatagram('secret', Uint8Array.of(1, 2, 3))
  t.not(verifyDatagram(['other', 'secret'], sealed), null)
  t.notThrows(() => fc.assert(fc.property(fc.nat(sealed.length - 1), fc.integer({ min: 1, max: 255 }), (at, change) => {
    const changed = Buffer.from(sealed)
    changed[at] = (changed[at] ?? 0) ^ change
    return verifyDatagram(['secret'], changed) === null
  }), { seed: SEED, numRuns: 300 }))
})

test('dispatchers receive the summaries of their failure domain, and other failure domains receive the sum', async (t) => {
  const services = await startFleet(6, { domains: 2 })
  const exchanges = services.map((service) => new SummaryExchange(service))
  t.teardown(async () => {
    exchanges.forEach((exchange) => exchange.dispose())
    await Promise.all(services.map((service) => service.dispose()))
  })
  await until(() => services.every((service) => service.membersAcceptingWork().length === 6))
  exchanges.forEach((exchange) => exchange.start())
  exchanges.forEach((exchange, index) => exchange.publish([summaryOf('m', index + 1)]))
  await until(() => exchanges.every((exchange) => exchange.dispatcherSummaries('m').length === 3 && exchange.dispatchersWithModel('m').length === 3))
  // The nodes with odd indexes, which form failure domain fd1, have 2, 4 and 6 runners.
  await until(() => exchanges[0]?.domainSummaries('m')[0]?.summary.runners === 12)
  t.deepEqual(exchanges[0]?.domainSummaries('m').map(({ failureDomain }) => failureDomain), ['fd1'])
  exchanges[1]?.publish([])
  await until(() => exchanges[3]?.dispatchersWithModel('m').length === 2 && exchanges[3]?.dispatcherSummaries('m').length === 2)
})
