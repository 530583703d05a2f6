import rendezvousRank from '@cyclamengate/common/rendezvousRank';
import newCrashHistory from '@cyclamengate/engines/newCrashHistory';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { PeerAnswer, PeerCall, PeerClient } from '../src/newPeerCalls.js';
import newTrialClaims from '../src/newTrialClaims.js';

const DIGEST = 'deadly';
const HOSTS = ['a', 'b', 'c', 'd', 'e'];
/** The hosts in the order in which they are asked. */
const RANKED = rendezvousRank(`trials/${DIGEST}`, HOSTS);

/** Claims of the host at a place in the ranking; the others answer by their own place. */
const newClaims = (place: number, answers: PeerAnswer<number>[]) => {
  const asked: string[] = [];
  const host = RANKED[place] ?? '';
  const { claim } = newTrialClaims({
    host,
    readPeers: () =>
      HOSTS.filter((name) => name !== host).map((name) => ({ host: name, address: name })),
    calls: {
      ask: async <Value>(peer: { host: string }, _timeoutMs: number, { name }: PeerCall<Value>) => {
        asked.push(`${name} ${peer.host}`);
        return (answers[RANKED.indexOf(peer.host)] ?? { type: 'gone' }) as PeerAnswer<Value>;
      },
    },
  });
  return { asked, claim: () => claim(DIGEST, []) };
};

test('every host asks the same host for the turn, and waits as long as it says', async (t) => {
  // Guards against copies at several hosts that are all tried when their hold ends.
  for (const place of [1, 4]) {
    const { asked, claim } = newClaims(place, [{ type: 'answer', value: 400 }]);
    t.is(await claim(), 400);
    t.deepEqual(asked, [`claimTrial ${RANKED[0]}`]);
  }
});

test('the host that grants the turns grants itself one', async (t) => {
  const { asked, claim } = newClaims(0, []);
  t.is(await claim(), null);
  t.deepEqual(asked, []);
});

test('a host that is gone is passed over, and a host that reaches none of three decides itself', async (t) => {
  const second = newClaims(4, [{ type: 'gone' }, { type: 'answer', value: 0 }]);
  t.is(await second.claim(), null);
  t.is(second.asked.length, 2);
  const none = newClaims(4, []);
  t.is(await none.claim(), null);
  t.is(none.asked.length, 3);
});

test('of copies at several hosts one is tried, and another one if that run reached no upstream', async (t) => {
  // Guards against a request that ends as many upstreams as hosts have a copy of it.
  const clock = newManualClock();
  const crashes = ['a@1', 'b@1'].map((upstream) => ({
    digest: DIGEST,
    upstream,
    endedAt: clock.wallTime(),
    weight: 1,
    work: 'call' as const,
  }));
  const histories = new Map(HOSTS.map((host) => [host, newCrashHistory(clock)]));
  const [arbiter] = RANKED;
  const newClient = (host: string) => {
    const history = histories.get(host);
    const claim = async (): Promise<number> =>
      (history?.start(DIGEST) ?? clock.now()) - clock.now();
    const cancel = async (): Promise<void> => history?.cancelStart(DIGEST);
    return { claimTrial: { mutate: claim }, cancelTrial: { mutate: cancel } };
  };
  const trials = HOSTS.map((host) =>
    newTrialClaims({
      host,
      readPeers: () =>
        HOSTS.filter((name) => name !== host).map((name) => ({ host: name, address: name })),
      calls: {
        ask: async <Value>(
          { host: peer }: { host: string },
          _ms: number,
          call: PeerCall<Value>,
        ) => {
          const client = newClient(peer) as unknown as PeerClient;
          return { type: 'answer' as const, value: await call.run(client, AbortSignal.abort()) };
        },
      },
    }),
  );
  histories.forEach((history) => crashes.forEach(history.merge));
  await clock.advance(1_000);
  const others = trials.filter((_, index) => HOSTS[index] !== arbiter);
  const claimAll = () => Promise.all(others.map(({ claim }) => claim(DIGEST, crashes)));
  t.is((await claimAll()).filter((waitMs) => waitMs === null).length, 1);
  t.deepEqual(await claimAll(), [1_000, 1_000, 1_000, 1_000]);
  others[0]?.cancel(DIGEST);
  await clock.advance(0);
  t.is((await claimAll()).filter((waitMs) => waitMs === null).length, 1);
});
