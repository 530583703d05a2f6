import newLogger from '@cyclamengate/common/newLogger';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Member } from '@cyclamengate/coordination/member';
import type { Peer } from '@cyclamengate/coordination/newPeer';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import { newMemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import type { MemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import { trainerSettingsSchema } from '@cyclamengate/settings/trainerSettings';
import newLogHost from '@cyclamengate/harness/newLogHost';
import test from 'ava';
import newPayloadCopies from '../src/newPayloadCopies.js';
import newPayloadStore from '../src/newPayloadStore.js';
import type { PayloadStore } from '../src/newPayloadStore.js';
import newSampleReader from '../src/newSampleReader.js';
import newStepRunner from '../src/newStepRunner.js';
import { sampleSchema } from '../src/sample.js';
import type { Sample } from '../src/sample.js';
import SampleMaker from '../src/SampleMaker.js';
import type { MadeTokens, MakeFault } from '../src/SampleMaker.js';

const MAKE_MS = 100;
const SILENT_LEVEL = 6;
const trainer = trainerSettingsSchema.parse({
  id: 'tone',
  customer: 'workshop',
  service: 'assistant',
  stalenessBoundVersions: 1,
  maxLateCopies: 4,
});
const subtree = {
  operators: [{ id: 'admin', paths: ['/'] }],
  customers: [{ id: 'workshop' }],
  services: [{ id: 'assistant', type: 'model' }],
  trainers: [trainer],
};
const request = {
  step: 1,
  groupSize: 2,
  prompts: ['a', 'b', 'c', 'd'],
  maxTokens: 4,
  timeoutMs: 60_000,
};

/** Makes samples in a fixed time; chosen calls take longer. */
class FakeMaker extends SampleMaker {
  made = 0;

  version = 1;

  slowCalls = new Set<number>();

  constructor(
    private readonly clock: ManualClock,
    private readonly name: string,
  ) {
    super();
  }

  async generate(): Promise<Result<MadeTokens, MakeFault>> {
    this.made += 1;
    const call = this.made;
    const { version } = this;
    await this.clock.sleepUntil(this.clock.now() + (this.slowCalls.has(call) ? 40_000 : MAKE_MS));
    return Ok({ tokens: [`${this.name} ${call}`], segments: [{ version, tokens: 1 }] });
  }

  async score(): Promise<Result<number, MakeFault>> {
    return Err('failed');
  }
}

const newBench = (log: MemoryLog = newMemoryLog(), clock: ManualClock = newManualClock()) => {
  const stores = new Map<string, PayloadStore>();
  const members: Member[] = [];
  const settled = new Set(['one', 'two', 'three']);

  const newHost = (id: string, failureDomain: string, known: readonly Member[] = members) => {
    const store = newPayloadStore();
    const { follower, writer, metrics, signal, kill } = newLogHost(log, clock, id);
    const self: Member = {
      id,
      incarnation: id,
      role: 'rollout',
      failureDomain,
      peerUrl: id,
      url: id,
      heartbeat: 1,
      offset: 0,
      isLeaving: false,
      inFlight: {},
      demand: {},
    };
    members.push(self);
    stores.set(id, store);
    const copies = newPayloadCopies({
      store,
      self,
      others: () => known.filter((member) => member.id !== id && stores.has(member.id)),
      peerAt: (url) =>
        ({
          keepPayload: async (digest: string, payload: string) =>
            Ok(stores.get(url)?.keep(digest, payload) ?? false),
          readPayload: async (digest: string) => Ok(stores.get(url)?.read(digest) ?? null),
        }) as unknown as Peer,
      isSettled: () => settled.has(id),
    });
    const maker = new FakeMaker(clock, id);
    const runner = newStepRunner({
      clock,
      log: newLogger('test', SILENT_LEVEL),
      metrics,
      follower,
      writer,
      copies,
      maker,
    });
    const readSamples = newSampleReader({ clock, metrics, follower, writer, copies });
    return {
      maker,
      metrics,
      follower,
      store,
      readSamples,
      run: () => runner.run(trainer, 'key', request, clock.now() + request.timeoutMs, signal),
      /** The process is gone, and with it everything in its memory. */
      kill: (): void => {
        kill();
        stores.delete(id);
      },
    };
  };

  const put = (record: unknown): number =>
    log.put(
      JSON.stringify({ version: 1, id: `put-${log.records.length}`, writer: 'test', record }),
    );
  put({
    type: 'settings-change',
    operator: 'admin',
    subtrees: [{ path: '/', basedOn: -1, subtree }],
  });
  put({ type: 'weights-published', trainer: 'tone', version: 1 });
  put({ type: 'step-opened', trainer: 'tone', step: 1, groups: 4, groupSize: 2 });
  const publish = (version: number): number =>
    put({ type: 'weights-published', trainer: 'tone', version });
  return { log, clock, newHost, publish };
};

/** Two processes in two failure domains that have read what there is. */
const newPair = async () => {
  const bench = newBench();
  const one = bench.newHost('one', 'argos-c');
  const two = bench.newHost('two', 'nafplio-a');
  await bench.clock.advance(100);
  return { ...bench, one, two };
};

type Host = ReturnType<ReturnType<typeof newBench>['newHost']>;

/** Reads a page while time goes on. */
const readPage = async (clock: ManualClock, host: Host, cursor: number) => {
  const reading = host.readSamples(trainer, 1, cursor);
  await clock.advance(1_000);
  return reading;
};

const samplesOf = (payloads: readonly string[]): Sample[] =>
  payloads.map((payload) => sampleSchema.parse(JSON.parse(payload)));

const readAll = async (clock: ManualClock, host: Host): Promise<Sample[]> => {
  const samples: Sample[] = [];
  for (let round = 0; round < 200; round += 1) {
    const page = await readPage(clock, host, samples.length);
    if (page.ok) samples.push(...samplesOf(page.val.payloads));
    if (page.ok && page.val.isComplete) return samples;
  }
  throw new Error('the step was never whole');
};

const isEachSlotOnce = (samples: Sample[]): boolean =>
  samples.length === 8 && new Set(samples.map(({ slot }) => slot)).size === 8;

// The trainer asks two processes for the same step, since the first one was slow to answer. Both make
// all samples; the naive way delivers both.
test('two processes that fill the same step bind each slot once', async (t) => {
  const { clock, one, two } = await newPair();
  Promise.all([one.run(), two.run()]).catch(() => undefined);
  await clock.advance(2_000);
  const first = await readAll(clock, one);
  const second = await readAll(clock, two);
  t.true(isEachSlotOnce(first));
  t.deepEqual(first, second);
});

// The answer with the samples is lost on its way and the trainer asks again, perhaps elsewhere.
test('the same cursor gives the same samples again, from either process', async (t) => {
  const { clock, one, two } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  const lost = await readPage(clock, one, 0);
  const again = await readPage(clock, two, 0);
  t.true(lost.ok && lost.val.payloads.length === 8);
  t.deepEqual(again, lost);
});

// The process that made the samples is killed after it bound them and before anybody read them.
test('a killed process loses no bound sample, its copy is elsewhere', async (t) => {
  const { clock, one, two } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(450);
  one.kill();
  two.run().catch(() => undefined);
  const samples = await readAll(clock, two);
  t.true(isEachSlotOnce(samples));
});

// Both hosts that hold a sample are replaced before the trainer read it. The trainer would wait for
// ever, or get an empty page for a whole one.
test('a slot that lost both copies before it was offered is made anew', async (t) => {
  const { clock, newHost, one, two } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  one.kill();
  two.kill();
  const three = newHost('three', 'nafplio-b');
  await clock.advance(200);
  const first = await readPage(clock, three, 0);
  t.true(first.ok && first.val.payloads.length === 0 && !first.val.isComplete);
  three.run().catch(() => undefined);
  t.true(isEachSlotOnce(await readAll(clock, three)));
});

// A new process does not know its peers yet and finds none of the holders of a step's samples.
test('a process that has just started takes no sample for lost', async (t) => {
  const { clock, newHost, one } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  one.kill();
  const fresh = newHost('fresh', 'nafplio-b', []);
  await clock.advance(200);
  const page = await readPage(clock, fresh, 0);
  t.true(page.ok && page.val.payloads.length === 0 && !page.val.isComplete);
  t.is(fresh.metrics.counted('samples_released_lost'), 0);
  t.is(fresh.follower.state().trainers.tone?.steps[1]?.offered, 0);
});

test('a sample that was offered and then lost is reported as lost, never replaced', async (t) => {
  const { clock, newHost } = newBench();
  const one = newHost('one', 'argos-c');
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  t.true((await readPage(clock, one, 0)).ok);
  one.kill();
  const two = newHost('two', 'nafplio-a');
  await clock.advance(200);
  two.run().catch(() => undefined);
  const page = await readPage(clock, two, 0);
  t.is(page.ok ? '' : page.val, 'lost');
  t.is(two.maker.made, 0);
});

// New weights come out while bound samples wait for a slow trainer. It would train on answers that
// are older than it allows.
test('samples that age out before they are read are made anew, and the step still ends', async (t) => {
  const { clock, newHost, publish } = newBench();
  const one = newHost('one', 'argos-c');
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  publish(2);
  publish(3);
  one.maker.version = 3;
  await clock.advance(200);
  const stale = await readPage(clock, one, 0);
  t.true(stale.ok && stale.val.payloads.length === 0);
  one.run().catch(() => undefined);
  const samples = await readAll(clock, one);
  t.true(isEachSlotOnce(samples));
  t.true(samples.every(({ segments }) => segments.every(({ version }) => version >= 2)));
});

// One host has not seen the newest weights yet when it is asked for samples.
test('a host with an old view can not deliver a sample that has grown too old', async (t) => {
  const { log, clock, newHost, publish } = newBench();
  const one = newHost('one', 'argos-c');
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  const reading = one.readSamples(trainer, 1, 0);
  publish(2);
  publish(3);
  await clock.advance(1_000);
  const page = await reading;
  t.false(page.ok);
  t.is(one.follower.state().trainers.tone?.steps[1]?.offered, 0);
  t.true(log.records.length > 0);
});

// The log is out for a long time in the middle of a step.
test('through an outage of the log a step is late, and each slot comes once', async (t) => {
  const { log, clock, newHost } = newBench();
  const one = newHost('one', 'argos-c');
  const two = newHost('two', 'nafplio-a');
  await clock.advance(100);
  Promise.all([one.run(), two.run()]).catch(() => undefined);
  await clock.advance(50);
  log.isDown = true;
  await clock.advance(30_000);
  const during = await readPage(clock, one, 0);
  t.true(during.ok && during.val.payloads.length === 0);
  log.isDown = false;
  log.fate = () => (log.records.length % 2 === 0 ? 'answer-lost' : 'lands');
  t.true(isEachSlotOnce(await readAll(clock, two)));
});

// Some samples take forty seconds where the others take a tenth of one, and the trainer idles.
test('stragglers are covered by late copies within the budget', async (t) => {
  const { clock, newHost } = newBench();
  const one = newHost('one', 'argos-c');
  one.maker.slowCalls = new Set([2, 5]);
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(3_000);
  const page = await readPage(clock, one, 0);
  t.true(page.ok && page.val.isComplete);
  t.is(one.metrics.counted('samples_late_copies'), 2);
  t.is(one.maker.made, 10);
});
