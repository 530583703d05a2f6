import rendezvousRank from '@cyclamengate/common/rendezvousRank';
import test from 'ava';
import type { PeerAnswer, PeerCall } from '../src/newPeerCalls.js';
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
