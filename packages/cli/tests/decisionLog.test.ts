import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import test from 'ava'
import fc from 'fast-check'

import { explainLogged, parseDecisionLog } from '../src/timeline/decisionLog.js'
import { runCommand } from './runCommand.js'

const line = (time: string, node: string, rest: string): string => `time=2026-08-23T15:35:${time}Z level=info node=${node} domain=hall-a ${rest}`

const LOG = [
  `  -3.1 edge-1 ${line('20.000', 'edge-1', 'event=store.lost reason="interrupted: no answer" silent_ms=6000')}`,
  line('21.000', 'edge-2', 'event=store.lost reason="another node"'),
  line('22.500', 'edge-2', 'event=request.sent request=long attempt=1 server=i-9 server_domain=hall-b helpers=i-1,i-2 expected_ms=900 due_in_ms=3990 configuration=3 servers_revision=40'),
  line('23.000', 'edge-1', 'event=request.sent request=r1 attempt=1 server=i-1 server_domain=hall-b expected_ms=120 due_in_ms=301 configuration=3 servers_revision=41'),
  line('24.300', 'edge-1', 'event=attempt.failed request=r1 server=i-1 end=silent reason="no byte for 1300 ms" after_ms=1300'),
  line('24.301', 'edge-1', 'event=server.avoided server=i-1 service=lm evidence=bad'),
  line('24.302', 'edge-1', 'event=request.sent request=r1 attempt=2 server=i-5 server_domain=hall-a expected_ms=110 due_in_ms=-1000 configuration=3 servers_revision=41'),
  line('26.000', 'edge-1', 'event=request.ended request=r1 outcome=answered status=200 tokens_in=4100 servers=i-1,i-5 first_ms=1420 took_ms=3000 longest_pause_ms=140 problem="silent: no byte for 1300 ms"'),
  line('27.000', 'edge-2', 'event=request.ended request=long outcome=answered status=200 tokens_in=377833 servers=i-9 first_ms=900 took_ms=4500')
].join('\n')

const explanation = explainLogged(parseDecisionLog(LOG), 'r1')

test('the attempts of a request are described in order', (t) => {
  t.is(explanation?.sentences.length, 4)
  t.regex(explanation!.sentences[0]!, /node edge-1 sent it to i-1 in hall-b as attempt 1; it was due in 301 ms \(configuration 3, servers as of revision 41\)/)
  t.regex(explanation!.sentences[1]!, /ended after 1300 ms as silent: no byte for 1300 ms\./)
  t.regex(explanation!.sentences[3]!, /ended as answered with status 200 after 3000 ms\. .* after 1420 ms\. .* 140 ms\./)
})

test('state changes of its node and servers and other requests on its servers are shown, those of other nodes are not', (t) => {
  const meanwhile = explanation!.meanwhile.join('\n')
  t.regex(meanwhile, /request long of 377833 tokens went to i-1 too/)
  t.regex(meanwhile, /store\.lost on node edge-1 \(reason interrupted: no answer/)
  t.regex(meanwhile, /server\.avoided on node edge-1/)
  t.notRegex(meanwhile, /another node/)
})

test('a request that no line names is not explained', (t) => {
  t.is(explainLogged(parseDecisionLog(LOG), 'r2'), null)
})

test('lines of other programs are skipped', (t) => {
  fc.assert(fc.property(fc.array(fc.string()), (lines) => Array.isArray(parseDecisionLog(lines.join('\n')))), { seed: 3, numRuns: 500 })
  t.is(parseDecisionLog(`something else\n${LOG}\n{"json":true}`).length, 9)
})

test('explain reads log files, and check reads the settings of the users’ platform', async (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'decision-log-'))
  const log = join(directory, 'edge.log')
  const settings = join(directory, 'local.toml')
  writeFileSync(log, LOG)
  writeFileSync(settings, 'node_name = "edge-1"\n[listen]\nready = "10.1.0.40:8220"\nfrontend = "nowhere"\n')
  const explained = await runCommand(['explain', 'r1', '--log', log])
  t.is(explained.exitCode, 0)
  t.regex(explained.output, /as attempt 2/)
  t.is((await runCommand(['explain', 'r2', '--log', log])).exitCode, 1)
  const checked = await runCommand(['check', settings])
  t.is(checked.exitCode, 1)
  t.regex(checked.errors, /local\.toml:4: listen\.frontend cannot be used; allowed: must be IP:PORT/)
})

test('the explanation tells which scheduler placed an attempt, and what it knew of the server', (t) => {
  const lines = parseDecisionLog('time=2026-12-04T05:00:00.000Z node=edge-1 event=request.sent request=r9 attempt=1 server=i-1 server_domain=d1 expected_ms=200 scheduler=10.0.0.2:7340 decided_ms=4 server_requests=11 server_pending_ms=90 deferred=true due_in_ms=300 configuration=1 servers_revision=2')
  const [sentence = ''] = explainLogged(lines, 'r9')?.sentences ?? []
  t.true(sentence.includes('The scheduler at 10.0.0.2:7340 chose the server within 4 ms; the server had 11 requests and 90 ms of pending prefill.'))
  t.true(sentence.includes('It was deferred'))
})

const STATEMENT_LOG = [
  line('30.000', 'edge-1', 'event=server.stated server=i-1 request_limit=1.9 request=r9 heard_by=edge-1'),
  line('30.010', 'edge-2', 'event=server.stated server=i-1 request_limit=1.9 heard_by=edge-1 age_ms=9'),
  line('30.100', 'edge-2', 'event=server.paused server=i-2 pause_ms=6000 request=r8'),
  line('30.200', 'edge-3', 'event=server.stated server=i-3 request_limit=none leaving=true request=r7 heard_by=edge-3'),
  line('30.300', 'edge-2', 'event=servers.restored before=1.40 revision=2.31 origin=store kept=i-4'),
  line('31.000', 'edge-2', 'event=request.sent request=late attempt=1 server=i-5 server_domain=hall-a expected_ms=400 passed_over=i-1,i-2,i-3,i-6 due_in_ms=301 configuration=3 servers_revision=2.31'),
  line('31.500', 'edge-2', 'event=request.not_placed request=limited service=lm reason=request_limit retry_after_ms=620 server=i-1 server_limit=1.9 server_stated_ms_ago=1490 server_heard_by=edge-1'),
  line('31.600', 'edge-2', 'event=request.not_placed request=paused service=lm reason=servers_paused retry_after_ms=4500 server=i-2'),
  line('31.700', 'edge-2', 'event=request.not_placed request=leaving service=lm reason=servers_leaving server=i-3 server_leaving=true server_stated_ms_ago=1500 server_heard_by=edge-3')
].join('\n')

const explained = (request: string): string => {
  const { sentences = [], meanwhile = [] } = explainLogged(parseDecisionLog(STATEMENT_LOG), request) ?? {}
  return [...sentences, ...meanwhile].join('\n')
}

test('a delayed request is explained by the statements of the servers that were not considered', (t) => {
  const text = explained('late')
  t.regex(text, /server i-1 was not considered: it had stated a limit of 1\.9 requests a second to node edge-1, 1000 ms before\./)
  t.regex(text, /server i-2 was not considered: it had asked node edge-2 for a pause of 6000 ms, 900 ms before\./)
  t.regex(text, /server i-3 was not considered: it had told node edge-3 that it leaves, 800 ms before\./)
  t.regex(text, /server i-6 was not considered: the log does not hold its statement\./)
  t.regex(text, /servers\.restored on node edge-2 \(before 1\.40, revision 2\.31, origin store, kept i-4\)\./)
})

test('a refused request is explained by the statement that decided it', (t) => {
  t.regex(explained('limited'), /request_limit; i-1 had stated a limit of 1\.9 requests a second to node edge-1, 1490 ms before\. The caller could return after 620 ms\./)
  t.regex(explained('paused'), /servers_paused; i-2 had asked this node for a pause\. The caller could return after 4500 ms\./)
  t.regex(explained('leaving'), /servers_leaving; i-3 had told node edge-3 1500 ms before that it leaves\./)
})

const PROMISE_LOG = [
  line('10.000', 'edge-1', 'event=promise.made request=told service=lm identity=request:ab tokens_needed=191400 room_in_ms=400 prefill_share=0.20 engines_kept=i-1,i-2 retry_after_ms=700 promises=3'),
  line('10.001', 'edge-2', 'event=request.not_placed request=told service=lm reason=no_room retry_after_ms=700 promised=true'),
  line('10.750', 'edge-1', 'event=promise.kept request=again service=lm identity=request:ab tokens_promised=191400 late_ms=50')
].join('\n')

test('a request refused for want of memory is explained by the forecast, and its return by the memory that was kept', (t) => {
  const sentencesOf = (request: string): string => (explainLogged(parseDecisionLog(PROMISE_LOG), request)?.sentences ?? []).join('\n')
  t.regex(sentencesOf('told'), /expected 191400 tokens of free memory in 400 ms on i-1, i-2 and kept them for request identity request:ab; it told the caller to return after 700 ms \(3 promises in force\)\./)
  t.regex(sentencesOf('told'), /no_room\. The caller could return after 700 ms; memory was kept for it until then\./)
  t.regex(sentencesOf('again'), /scheduler edge-1 had kept for identity request:ab, 50 ms after the named time, and was placed\./)
})

test('a request at a cold server, and one that passed it over, are explained by its warm-up', (t) => {
  const sent = 'event=request.sent attempt=1 server_domain=d1 expected_ms=0 scheduler=self decided_ms=0 server_requests=1 server_pending_ms=0 due_in_ms=300 configuration=1 servers_revision=2'
  const lines = parseDecisionLog([
    line('30.000', 'edge-1', 'event=server.cold server=i-1 service=lm left_ms=3000 evidence=entry limit=26'),
    line('30.100', 'edge-1', `${sent} request=at server=i-1 server_cold_ms=2900`),
    line('30.200', 'edge-1', `${sent} request=past server=i-2 passed_over=i-1`)
  ].join('\n'))
  t.regex(explainLogged(lines, 'at')?.sentences.join() ?? '', /The server was cold for another 2900 ms, and got no more requests than it accepts then\./)
  t.regex(explainLogged(lines, 'past')?.sentences.join() ?? '', /i-1 was not considered: it was known to node edge-1 to stay cold for 3000 ms, with a limit of 26 requests a second, 200 ms before\./)
})

const QUARANTINE_LOG = [
  line('20.000', 'edge-2', 'event=engine.crash_suspected server=i-3 suspects=1 parts=ab12,cd34 requests=first reported_by=edge-2'),
  line('20.010', 'edge-1', 'event=engine.crash_suspected server=i-3 suspects=1 parts=ab12,cd34 reported_by=edge-2 age_ms=4'),
  line('21.000', 'edge-3', 'event=engine.crash_suspected server=i-4 suspects=2 parts=ab12 requests=second,third reported_by=edge-3'),
  line('21.000', 'edge-3', 'event=engine.crash_suspected server=i-5 suspects=1 parts=ab12x requests=fourth reported_by=edge-3'),
  line('21.002', 'edge-1', 'event=part.quarantined part=ab12 crashes=2 moments=2 last_crash_ms_ago=1 sound_before=false'),
  line('21.500', 'edge-2', 'event=part.trial request=fifth parts=ab12'),
  line('22.000', 'edge-1', 'event=request.quarantined request=r3 part=ab12 crashes=3 moments=3 last_crash_ms_ago=400 sound_before=false ran=no'),
  line('22.001', 'edge-1', 'event=request.ended request=r3 outcome=refused status=400 servers= took_ms=1 problem="part ab12 of the prompt is quarantined"'),
  line('23.000', 'edge-2', 'event=part.trial request=sixth parts=ab12')
].join('\n')

const REQUEST_QUARANTINE_LOG = [
  line('20.000', 'edge-2', 'event=engine.crash_suspected server=i-3 service=mizan suspects=0 request_digests=@one,@two requests=first,other reported_by=edge-2'),
  line('20.100', 'edge-2', 'event=engine.crash_suspected server=i-4 service=mizan suspects=0 request_digests=@two requests=other reported_by=edge-2'),
  line('21.000', 'edge-1', 'event=part.quarantined request_digest=@one crashes=3 moments=3 last_crash_ms_ago=1 sound_before=false'),
  line('21.500', 'edge-2', 'event=part.trial request=fifth parts=@one'),
  line('22.000', 'edge-1', 'event=request.quarantined request=r4 request_digest=@one crashes=4 moments=4 last_crash_ms_ago=400 sound_before=false ran=no'),
  line('22.001', 'edge-1', 'event=request.ended request=r4 outcome=refused status=400 servers= took_ms=1 problem="the request is quarantined as @one"')
].join('\n')

test('a request that was refused because it crashes servers itself is explained with the evidence of all nodes', (t) => {
  const sentences = explainLogged(parseDecisionLog(REQUEST_QUARANTINE_LOG), 'r4')?.sentences ?? []
  t.is(sentences.length, 5)
  t.regex(sentences[0]!, /server of mizan i-3 broke off its connections to node edge-2; requests that had not proved sound there: 2 \(first,other\)\./)
  t.regex(sentences[1]!, /node edge-1 put the request into quarantine/)
  t.regex(sentences[2]!, /let request fifth go as a trial/)
  t.regex(sentences[3]!, /node edge-1 refused it for good: the request itself \(@one\) was quarantined after 4 crashes .* the request had never been seen in a sound answer\. It has not run\./)
})

test('a request that was refused because of a part of its prompt is explained with the evidence of all nodes', (t) => {
  const sentences = explainLogged(parseDecisionLog(QUARANTINE_LOG), 'r3')?.sentences ?? []
  t.is(sentences.length, 6)
  t.regex(sentences[0]!, /engine i-3 broke off its connections to node edge-2; requests that had not proved sound there: 1 \(first\)\./)
  t.regex(sentences[1]!, /engine i-4 .* node edge-3; .* there: 2 \(second,third\)/)
  t.regex(sentences[2]!, /node edge-1 put the part into quarantine/)
  t.regex(sentences[3]!, /let request fifth go as a trial/)
  t.regex(sentences[4]!, /node edge-1 refused it for good: part ab12 .* after 3 crashes of engines at 3 different moments, the last one 400 ms before; the part had never been seen in a sound answer\. It has not run\./)
})

test('a hedged request is explained: why a second server was asked or not, and which one answered', (t) => {
  const lines = parseDecisionLog([
    line('20.000', 'edge-1', 'event=hedge.sent request=r5 server=i-2 server_domain=hall-b beside=i-1 beside_domain=hall-a after_ms=81 delay_ms=80 left_ms=900'),
    line('20.040', 'edge-1', 'event=hedge.ended request=r5 server=i-2 winner=hedge after_ms=40'),
    line('20.100', 'edge-2', 'event=hedge.limited request=r6 service=app reason=hedge_high_load requests=12 slots=18 max_ratio=0.02'),
    line('20.101', 'edge-1', 'event=hedge.refused request=r6 beside=i-1 after_ms=82 delay_ms=80 reason=hedge_high_load')
  ].join('\n'))
  const [sent, ended] = explainLogged(lines, 'r5')?.sentences ?? []
  const [limited, refused] = explainLogged(lines, 'r6')?.sentences ?? []
  t.regex(sent!, /i-1 in hall-a had not answered after 81 ms, .* \(80 ms\), so it was sent to i-2 in hall-b too\./)
  t.regex(ended!, /i-2 \(the second server\) answered first, after 40 ms/)
  t.regex(limited!, /scheduler edge-2 .* hedge_high_load; 12 of 18 slots of app/)
  t.regex(refused!, /no second server was asked: hedge_high_load\./)
})

test('a request that waited for memory is explained from the lines of its scheduler and its node', (t) => {
  const log = parseDecisionLog([
    line('32.000', 'edge-1', 'event=placement.queued request=long node=edge-2 service=lm urgency=5 organisation=o tokens=191400 forecast_ms=900 give_up_ms=9000 waited_ms=0 waiting=3'),
    line('32.001', 'edge-2', 'event=request.queued request=long scheduler=edge-1 renew_ms=200 waited_ms=0'),
    line('32.800', 'edge-1', 'event=placement.dequeued request=long node=edge-2 service=lm outcome=placed queued_ms=800 waiting=2')
  ].join('\n'))
  const sentences = explainLogged(log, 'long')?.sentences ?? []
  t.is(sentences.length, 3)
  t.regex(sentences[0] ?? '', /had room for it; it began to wait at the scheduler with urgency 5, as one of 3: room for its 191400 tokens was expected in 900 ms/)
  t.regex(sentences[2] ?? '', /it was placed after 800 ms in the queue/)
})

test('a grant that was returned because of an evacuation, and the evacuation itself, are told', (t) => {
  const log = [
    line('20.000', 'edge-1', 'event=evacuation.changed begun=hall-b ended=none origin=peer evacuated=hall-b revision=1.41'),
    line('20.100', 'edge-1', 'event=grant.returned request=r5 scheduler=10.0.0.1:1 server=i-3 unusable=i-3 evacuated=hall-b servers_revision=1.40'),
    line('20.101', 'edge-1', 'event=request.not_placed request=r5 service=lm reason=domains_evacuated retry_after_ms=1400')
  ].join('\n')
  const { sentences, meanwhile } = explainLogged(parseDecisionLog(log), 'r5')!
  t.regex(sentences[0]!, /did not use the placement on i-3 .* evacuated as far as the node knew: hall-b\./)
  t.regex(sentences[1]!, /evacuated all failure domains .* could return after 1400 ms/)
  t.regex(meanwhile[0]!, /node edge-1 learnt from another node: evacuation of hall-b begun, as of revision 1\.41\./)
})

test('a grant that had aged while the process was held up is described', (t) => {
  const log = line('23.000', 'edge-1', 'event=grant.returned request=r1 scheduler=10.0.0.1:1 server=i-1 age_ms=2004')
  t.regex(explainLogged(parseDecisionLog(log), 'r1')?.sentences[0] ?? '', /the place at i-1 was returned to its scheduler: it had been granted 2004 ms before/)
})

test('a choice by expected time is explained by the speed of the server that was passed over', (t) => {
  const lines = parseDecisionLog([
    line('32.000', 'edge-2', 'event=server.uneven server=p-1 service=w relative=3.9 answered_ms=172 requests_before=0 reporter=edge-1'),
    line('32.100', 'edge-2', 'event=placement.by_time request=r5 server=p-2 server_requests=1 server_relative=1 other=p-1 other_requests=0 other_relative=3.9 other_warmth=0.5 other_age_ms=100'),
    line('32.101', 'edge-2', 'event=request.sent request=r5 attempt=1 server=p-1 server_domain=hall-a expected_ms=0 due_in_ms=251 configuration=3 servers_revision=41')
  ].join('\n'))
  const { sentences = [], meanwhile = [] } = explainLogged(lines, 'r5') ?? {}
  t.regex(sentences[0] ?? '', /node edge-2 chose by expected time p-2 \(1 requests, 1 times the usual time\), and not p-1 \(0 requests, 3\.9 times the usual time, warmed up by 50 %\)\./)
  t.true(meanwhile.some((text) => text.includes('by the answers known to node edge-2, p-1 took 3.9 times as long as the median server of w.')))
})

// Guards against an explanation that names neither the caller's part in its end nor the state of the node.
test('a caller that was cut off is told how slowly it read, and what the node buffered', (t) => {
  const lines = parseDecisionLog('time=2026-12-04T10:00:00.000Z level=warn node=n1 domain=d1 event=caller.cut_off request=r7 unread=800 waited_ms=1200 written=900 body_bytes=1 collected_bytes=2 unread_bytes=950 limit_bytes=1000\n' +
    'time=2026-12-04T09:59:59.000Z level=info node=n1 domain=d1 event=attempt.held request=r7 unread=600')
  const [held = '', cutOff = ''] = explainLogged(lines, 'r7')?.sentences ?? []
  t.regex(held, /node n1 held its server back, since the caller had left 600 bytes unread/)
  t.regex(cutOff, /node n1 cut its caller off, which had left 800 bytes unread, the oldest for 1200 ms\. .* buffered 950 unread bytes, .* of 1000\./)
})
