import type { Member } from '@cyclamengate/coordination/member';
import type { Peer } from '@cyclamengate/coordination/newPeer';
import type { PayloadStore } from './newPayloadStore.js';

export interface PayloadCopiesOptions {
  store: PayloadStore;
  self: Member;
  /** Other live rollout processes. */
  others: () => Member[];
  peerAt: (url: string) => Peer;
}

/** Keeps each payload on two hosts, in two failure domains where there are two. */
const newPayloadCopies = ({ store, self, others, peerAt }: PayloadCopiesOptions) => {
  const farthestFirst = (): Member[] =>
    others().sort(
      (left, right) =>
        Number(left.failureDomain === self.failureDomain) -
        Number(right.failureDomain === self.failureDomain),
    );

  const copyToOne = async (payloadDigest: string, payload: string): Promise<Member | null> => {
    for (const member of farthestFirst()) {
      const isKept = await peerAt(member.peerUrl).keepPayload(payloadDigest, payload);
      if (isKept.ok && isKept.val) return member;
    }
    return null;
  };

  /** @returns the ids of the hosts that hold it */
  const spread = async (payloadDigest: string, payload: string): Promise<string[]> => {
    store.keep(payloadDigest, payload);
    const copy = await copyToOne(payloadDigest, payload);
    return copy ? [self.id, copy.id] : [self.id];
  };

  const fetchFrom = async (member: Member, payloadDigest: string): Promise<string | null> => {
    const payload = await peerAt(member.peerUrl).readPayload(payloadDigest);
    if (!payload.ok || payload.val === null) return null;
    return store.keep(payloadDigest, payload.val) ? payload.val : null;
  };

  /** Reads a payload from here or from whichever holder still has it. */
  const read = async (
    payloadDigest: string,
    holders: readonly string[],
  ): Promise<string | null> => {
    const own = store.read(payloadDigest);
    if (own) return own;
    for (const member of others().filter(({ id }) => holders.includes(id))) {
      const payload = await fetchFrom(member, payloadDigest);
      if (payload) return payload;
    }
    return null;
  };

  return { spread, read };
};

export type PayloadCopies = ReturnType<typeof newPayloadCopies>;

export default newPayloadCopies;
