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
import newPayloadCopies from '../src/newPayloadCopies.js';
import newPayloadStore from '../src/newPayloadStore.js';
import type { PayloadStore } from '../src/newPayloadStore.js';
import newSampleReader from '../src/newSampleReader.js';
import newStepRunner from '../src/newStepRunner.js';
import { sampleSchema } from '../src/sample.js';
import type { Sample } from '../src/sample.js';
import SampleMaker from '../src/SampleMaker.js';
import type { GeneratedTokens, SampleFault } from '../src/SampleMaker.js';

const GENERATION_MS = 100;
const SILENT_LEVEL = 6;
export const trainer = trainerSettingsSchema.parse({
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
export const request = {
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

  async generate(): Promise<Result<GeneratedTokens, SampleFault>> {
    this.made += 1;
    const call = this.made;
    const { version } = this;
    await this.clock.sleepUntil(
      this.clock.now() + (this.slowCalls.has(call) ? 40_000 : GENERATION_MS),
    );
    return Ok({ tokens: [`${this.name} ${call}`], segments: [{ version, tokens: 1 }] });
  }

  async score(): Promise<Result<number, SampleFault>> {
    return Err('failed');
  }
}

export const newBench = (
  log: MemoryLog = newMemoryLog(),
  clock: ManualClock = newManualClock(),
) => {
  const stores = new Map<string, PayloadStore>();
  const members: Member[] = [];
  const hostsKnowingPeers = new Set(['one', 'two', 'three']);

  const newHost = (
    id: string,
    failureDomain: string,
    knownMembers: readonly Member[] = members,
  ) => {
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
      others: () => knownMembers.filter((member) => member.id !== id && stores.has(member.id)),
      peerAt: (url) =>
        ({
          keepPayload: async (digest: string, payload: string) =>
            Ok(stores.get(url)?.put(digest, payload) ?? false),
          readPayload: async (digest: string) => Ok(stores.get(url)?.read(digest) ?? null),
        }) as unknown as Peer,
      arePeersKnown: () => hostsKnowingPeers.has(id),
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
      /** Kills the process, which loses everything in its memory. */
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

/** Two processes in two failure domains that have read all records of the log. */
export const newPair = async () => {
  const bench = newBench();
  const one = bench.newHost('one', 'argos-c');
  const two = bench.newHost('two', 'nafplio-a');
  await bench.clock.advance(100);
  return { ...bench, one, two };
};

type Host = ReturnType<ReturnType<typeof newBench>['newHost']>;

/** Reads a page while the clock advances by a second. */
export const readPage = async (clock: ManualClock, host: Host, cursor: number) => {
  const reading = host.readSamples(trainer, 1, cursor);
  await clock.advance(1_000);
  return reading;
};

export const parseSamples = (payloads: readonly string[]): Sample[] =>
  payloads.map((payload) => sampleSchema.parse(JSON.parse(payload)));

export const readAll = async (clock: ManualClock, host: Host): Promise<Sample[]> => {
  const samples: Sample[] = [];
  for (let round = 0; round < 200; round += 1) {
    const page = await readPage(clock, host, samples.length);
    if (page.ok) samples.push(...parseSamples(page.val.payloads));
    if (page.ok && page.val.isComplete) return samples;
  }
  throw new Error('the step was never completed');
};

export const hasEachSlotOnce = (samples: Sample[]): boolean =>
  samples.length === 8 && new Set(samples.map(({ slot }) => slot)).size === 8;
