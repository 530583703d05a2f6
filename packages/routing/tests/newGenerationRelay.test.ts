import type { UpstreamFault } from '@cyclamengate/upstreams/upstreamFault';
import test from 'ava';
import { newTestRelay, completes } from './relayHelpers.js';
import type { Script } from './relayHelpers.js';

const SIX_TOKENS = ['t0', 't1', 't2', 't3', 't4', 't5'];
const fails = (fault: UpstreamFault, tokens = 0, crashes = false): Script => ({
  tokens,
  fault,
  crashes,
});

// An engine crashes in the middle of a stream. The caller would get a truncated answer, or one that
// starts again from the beginning.
test('an answer resumes at another upstream after the tokens that were already relayed', async (t) => {
  const { relayPrompt, engine } = newTestRelay({ a: [fails('broken', 3)], b: [completes] });
  const { answer, tokens } = await relayPrompt();
  t.true(answer.ok);
  t.deepEqual(tokens, SIX_TOKENS);
  t.deepEqual(engine.calls[1]?.generation.prefix, ['t0', 't1', 't2']);
});

for (const fault of ['broken', 'silent', 'malformed'] as const) {
  // All upstreams fail. Callers send a request again if they are told that it has not run.
  test(`when all upstreams fail as ${fault} the refusal has an unknown outcome`, async (t) => {
    const { relayPrompt } = newTestRelay({ a: [fails(fault)], b: [fails(fault)] });
    const { answer } = await relayPrompt();
    t.is(answer.ok ? '' : answer.val.outcome, 'unknown');
  });
}

test('a refusal reports not run only if no upstream accepted the request', async (t) => {
  const { relayPrompt } = newTestRelay({ a: [fails('refused')], b: [fails('not-sent')] });
  const { answer } = await relayPrompt();
  t.is(answer.ok ? '' : answer.val.outcome, 'not-run');
});

test('an answer that cannot be completed after some tokens is reported as partial', async (t) => {
  const { relayPrompt } = newTestRelay({ a: [fails('broken', 2), fails('broken', 0)] });
  const { answer, tokens } = await relayPrompt();
  t.is(answer.ok ? '' : answer.val.outcome, 'partial');
  t.is(tokens.length, 2);
});

// A request crashes every engine that runs it, and its caller keeps sending it. If the request were
// not remembered, one caller could take down all engines.
test('a request is refused permanently after crashing a second upstream', async (t) => {
  const crashing = [fails('broken', 1, true)];
  const { relayPrompt, engine } = newTestRelay({
    a: crashing,
    b: crashing,
    c: [completes],
    d: [completes],
  });
  const { answer } = await relayPrompt('poison');
  t.is(answer.ok ? '' : answer.val.code, 'deadly-request');
  t.is(engine.crashed.size, 2);
  const again = await relayPrompt('poison');
  t.is(again.answer.ok ? '' : again.answer.val.code, 'deadly-request');
  t.is(again.answer.ok ? '' : again.answer.val.outcome, 'not-run');
  t.is(engine.crashed.size, 2);
  t.true((await relayPrompt('another request')).answer.ok);
});

// All cheap upstreams of a failure domain are reclaimed while they run requests, or become
// unreachable. Requests that happened to run there must not be refused permanently.
test('reclaimed, unreachable and flaky upstreams make no request a suspect', async (t) => {
  const reclaimed = newTestRelay({
    a: [fails('broken', 1, true)],
    b: [fails('broken', 1, true)],
    c: [completes],
  });
  reclaimed.list(true);
  reclaimed.directory.all().forEach((upstream) => {
    upstream.status.reclaimed = false;
  });
  const first = reclaimed.relayPrompt('innocent');
  reclaimed.list(true);
  await first;
  t.false(reclaimed.suspects.isDeadly('innocent'));

  const flaky = newTestRelay({ a: [fails('broken', 1)], b: [fails('silent', 1)], c: [completes] });
  t.true((await flaky.relayPrompt('innocent')).answer.ok);
  t.deepEqual(flaky.suspects.suspectsToSend(), []);
});

// All upstreams fail under load. If every request were sent to four of them, load would quadruple.
test('retries stop when the budget is exhausted', async (t) => {
  const { relayPrompt, engine, directory } = newTestRelay({
    a: [fails('refused')],
    b: [fails('refused')],
  });
  for (let count = 0; count < 40; count += 1) {
    directory.all().forEach((upstream) => directory.recordSuccess(upstream));
    await relayPrompt(`request ${count}`);
  }
  t.true(engine.calls.length <= 40 * 1.1 + 6, `${engine.calls.length} attempts for 40 requests`);
});

// The upstreams of a failure domain are reclaimed while twelve requests run on them. An entry that
// was idle has hardly any retry budget. If each move were charged to the budget, most of the callers
// would get truncated answers.
test('requests on a reclaimed upstream resume elsewhere without using the retry budget', async (t) => {
  const { relayPrompt, directory } = newTestRelay({ a: [fails('broken', 2)], b: [completes] });
  const [reclaimed] = directory.all();
  for (let count = 0; count < 12; count += 1) {
    reclaimed!.status = { ...reclaimed!.status, state: 'live' };
    directory.recordSuccess(reclaimed!);
    const pendingAnswer = relayPrompt(`request ${count}`);
    reclaimed!.status = { ...reclaimed!.status, state: 'leaving' };
    const { answer, tokens } = await pendingAnswer;
    t.true(answer.ok);
    t.deepEqual(tokens, SIX_TOKENS);
  }
});
