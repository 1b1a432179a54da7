import test from 'ava'

import { PeerAuthenticator } from '../src/peers/PeerAuthenticator.js'

const METHOD = '/bluebellhill.peer.Dispatcher/Acquire'
const NOW = 1_800_000_000_000
const OLD = 'old-secret-0123456789'
const NEW = 'new-secret-0123456789'

const authenticator = (secrets: readonly string[], now = NOW): PeerAuthenticator => new PeerAuthenticator(secrets, () => now)

test('a token signed with the same secret is accepted', (t) => {
  t.true(authenticator([OLD]).accepts(METHOD, authenticator([OLD]).createToken(METHOD)))
})

test('a token signed with another secret is refused', (t) => {
  t.false(authenticator([OLD]).accepts(METHOD, authenticator([NEW]).createToken(METHOD)))
})

test('secrets rotate without a stop: nodes before, during and after the rotation accept each other step by step', (t) => {
  const before = authenticator([OLD])
  const between = authenticator([NEW, OLD])
  const after = authenticator([NEW])
  t.true(between.accepts(METHOD, before.createToken(METHOD)))
  t.true(authenticator([OLD, NEW]).accepts(METHOD, between.createToken(METHOD)))
  t.true(after.accepts(METHOD, between.createToken(METHOD)))
  t.false(after.accepts(METHOD, before.createToken(METHOD)))
})

test('a token is valid only for its own method and within the clock skew limit', (t) => {
  const token = authenticator([OLD]).createToken(METHOD)
  t.false(authenticator([OLD]).accepts('/bluebellhill.peer.Entry/Recall', token))
  t.false(authenticator([OLD], NOW + 121_000).accepts(METHOD, token))
  t.false(authenticator([OLD], NOW - 121_000).accepts(METHOD, token))
})

test('malformed tokens and tokens with a wrong HMAC are refused', (t) => {
  for (const token of ['', '.', '1.2.3', `${NOW}.0000000000000000.${'0'.repeat(64)}`]) t.false(authenticator([OLD]).accepts(METHOD, token))
})
