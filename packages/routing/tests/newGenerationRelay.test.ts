import type { UpstreamFault } from '@cyclamengate/upstreams/upstreamFault';
import test from 'ava';
import { newRelayBench, whole } from './relayHelpers.js';
import type { Script } from './relayHelpers.js';

const SIX = ['t0', 't1', 't2', 't3', 't4', 't5'];
const fails = (fault: UpstreamFault, tokens = 0, dies = false): Script => ({ tokens, fault, dies });

// An engine crashes in the middle of a stream. A caller would see an answer that just stops, or one
// that begins again after it had half of it.
test('an answer goes on elsewhere after the tokens that were passed on already', async (t) => {
  const { ask, engine } = newRelayBench({ a: [fails('broken', 3)], b: [whole] });
  const { answer, tokens } = await ask();
  t.true(answer.ok);
  t.deepEqual(tokens, SIX);
  t.deepEqual(engine.calls[1]?.generation.prefix, ['t0', 't1', 't2']);
});

for (const fault of ['broken', 'silent', 'malformed'] as const) {
  // Every upstream fails. What the caller reads decides whether it dares to send the request again.
  test(`when all upstreams end as ${fault} the refusal does not claim that nothing ran`, async (t) => {
    const { ask } = newRelayBench({ a: [fails(fault)], b: [fails(fault)] });
    const { answer } = await ask();
    t.is(answer.ok ? '' : answer.val.outcome, 'unknown');
  });
}

test('a refusal says not run only when no upstream took the request', async (t) => {
  const { ask } = newRelayBench({ a: [fails('refused')], b: [fails('not-sent')] });
  const { answer } = await ask();
  t.is(answer.ok ? '' : answer.val.outcome, 'not-run');
});

test('an answer that breaks off for good after some tokens is called partial', async (t) => {
  const { ask } = newRelayBench({ a: [fails('broken', 2), fails('broken', 0)] });
  const { answer, tokens } = await ask();
  t.is(answer.ok ? '' : answer.val.outcome, 'partial');
  t.is(tokens.length, 2);
});

// A request makes every engine that runs it crash, and its caller sends it again and again. Without a
// memory of it, one caller takes down the whole fleet.
test('a request is refused for good after the second upstream that died of it', async (t) => {
  const dies = [fails('broken', 1, true)];
  const { ask, engine } = newRelayBench({ a: dies, b: dies, c: [whole], d: [whole] });
  const { answer } = await ask('poison');
  t.is(answer.ok ? '' : answer.val.code, 'deadly-request');
  t.is(engine.dead.size, 2);
  const again = await ask('poison');
  t.is(again.answer.ok ? '' : again.answer.val.code, 'deadly-request');
  t.is(again.answer.ok ? '' : again.answer.val.outcome, 'not-run');
  t.is(engine.dead.size, 2);
  t.true((await ask('another request')).answer.ok);
});

// A zone of cheap upstreams is taken back while they run requests, or the network to them is cut.
// Requests that merely were there must not be refused for ever.
test('reclaimed, unreachable and flaky upstreams put no request under suspicion', async (t) => {
  const reclaimed = newRelayBench({
    a: [fails('broken', 1, true)],
    b: [fails('broken', 1, true)],
    c: [whole],
  });
  reclaimed.list(true);
  reclaimed.directory.all().forEach((upstream) => {
    upstream.status.reclaimed = false;
  });
  const first = reclaimed.ask('innocent');
  reclaimed.list(true);
  await first;
  t.false(reclaimed.suspects.isDeadly('innocent'));

  const flaky = newRelayBench({ a: [fails('broken', 1)], b: [fails('silent', 1)], c: [whole] });
  t.true((await flaky.ask('innocent')).answer.ok);
  t.deepEqual(flaky.suspects.tell(), []);
});

// All upstreams fail under load. If every request went to four of them, the load would grow fourfold.
test('retries stop when the budget is used up', async (t) => {
  const { ask, engine, directory } = newRelayBench({
    a: [fails('refused')],
    b: [fails('refused')],
  });
  for (let count = 0; count < 40; count += 1) {
    directory.all().forEach((upstream) => directory.succeed(upstream));
    await ask(`request ${count}`);
  }
  t.true(engine.calls.length <= 40 * 1.1 + 6, `${engine.calls.length} attempts for 40 requests`);
});

// A zone is taken back while twelve requests run on it. With a budget for retries that an idle entry
// has hardly earned, most of their callers would see a broken answer.
test('requests of an upstream that was taken away go on elsewhere without a budget', async (t) => {
  const { ask, directory } = newRelayBench({ a: [fails('broken', 2)], b: [whole] });
  const [taken] = directory.all();
  for (let count = 0; count < 12; count += 1) {
    taken!.status = { ...taken!.status, state: 'live' };
    directory.succeed(taken!);
    const asking = ask(`request ${count}`);
    taken!.status = { ...taken!.status, state: 'leaving' };
    const { answer, tokens } = await asking;
    t.true(answer.ok);
    t.deepEqual(tokens, SIX);
  }
});
