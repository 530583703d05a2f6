import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Member } from '@cyclamengate/coordination/member';
import type { Peer } from '@cyclamengate/coordination/newPeer';
import type { PayloadStore } from './newPayloadStore.js';

/** Why a payload could not be read: nobody has it, or somebody who may have it did not answer. */
export type ReadPayloadFault = 'missing' | 'unreachable';

export interface PayloadCopiesOptions {
  store: PayloadStore;
  self: Member;
  /** Other live rollout processes. */
  others: () => Member[];
  peerAt: (url: string) => Peer;
  /** Whether this process has run long enough to know who is there. */
  isSettled: () => boolean;
}

/** Keeps each payload on two hosts, in two failure domains where there are two. */
const newPayloadCopies = ({ store, self, others, peerAt, isSettled }: PayloadCopiesOptions) => {
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

  const fetchFrom = async (
    member: Member,
    payloadDigest: string,
  ): Promise<Result<string, ReadPayloadFault>> => {
    const payload = await peerAt(member.peerUrl).readPayload(payloadDigest);
    if (!payload.ok) return Err('unreachable');
    if (payload.val === null || !store.keep(payloadDigest, payload.val)) return Err('missing');
    return Ok(payload.val);
  };

  /**
   * Reads a payload from here or from whichever holder still has it.
   *
   * A process that has just started knows no peers yet. If it took their payloads for lost, it
   * would have a whole step made anew for nothing.
   */
  const read = async (
    payloadDigest: string,
    holders: readonly string[],
  ): Promise<Result<string, ReadPayloadFault>> => {
    const own = store.read(payloadDigest);
    if (own) return Ok(own);
    const live = others().filter(({ id }) => holders.includes(id));
    let isCertain = isSettled();
    for (const member of live) {
      const payload = await fetchFrom(member, payloadDigest);
      if (payload.ok) return payload;
      if (payload.val === 'unreachable') isCertain = false;
    }
    return Err(isCertain ? 'missing' : 'unreachable');
  };

  return { spread, read };
};

export type PayloadCopies = ReturnType<typeof newPayloadCopies>;

export default newPayloadCopies;
