import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Member } from '@cyclamengate/coordination/member';
import type { Peer } from '@cyclamengate/coordination/newPeer';
import type { PayloadStore } from './newPayloadStore.js';

/** Why a payload could not be read: no host has it, or a host that may have it did not answer. */
export type ReadPayloadFault = 'missing' | 'unreachable';

export interface PayloadCopiesOptions {
  store: PayloadStore;
  self: Member;
  /** Other live rollout processes. */
  others: () => Member[];
  peerAt: (url: string) => Peer;
  /** Whether this process has run long enough to know its peers. */
  arePeersKnown: () => boolean;
}

/** Stores each payload on two hosts, in different failure domains if possible. */
const newPayloadCopies = ({ store, self, others, peerAt, arePeersKnown }: PayloadCopiesOptions) => {
  const otherDomainsFirst = (): Member[] =>
    others().sort(
      (left, right) =>
        Number(left.failureDomain === self.failureDomain) -
        Number(right.failureDomain === self.failureDomain),
    );

  const copyToOnePeer = async (payloadDigest: string, payload: string): Promise<Member | null> => {
    for (const member of otherDomainsFirst()) {
      const isStored = await peerAt(member.peerUrl).keepPayload(payloadDigest, payload);
      if (isStored.ok && isStored.val) return member;
    }
    return null;
  };

  /** @returns the ids of the hosts that store the payload */
  const replicate = async (payloadDigest: string, payload: string): Promise<string[]> => {
    store.put(payloadDigest, payload);
    const copy = await copyToOnePeer(payloadDigest, payload);
    return copy ? [self.id, copy.id] : [self.id];
  };

  const fetchFrom = async (
    member: Member,
    payloadDigest: string,
  ): Promise<Result<string, ReadPayloadFault>> => {
    const payload = await peerAt(member.peerUrl).readPayload(payloadDigest);
    if (!payload.ok) return Err('unreachable');
    if (payload.val === null || !store.put(payloadDigest, payload.val)) return Err('missing');
    return Ok(payload.val);
  };

  /**
   * Reads a payload from this host or from any holder that still has it.
   *
   * A process that has just started knows no peers yet. If it considered their payloads lost, a
   * complete step would be generated again needlessly.
   */
  const read = async (
    payloadDigest: string,
    holders: readonly string[],
  ): Promise<Result<string, ReadPayloadFault>> => {
    const local = store.read(payloadDigest);
    if (local) return Ok(local);
    const liveHolders = others().filter(({ id }) => holders.includes(id));
    let isCertain = arePeersKnown();
    for (const member of liveHolders) {
      const payload = await fetchFrom(member, payloadDigest);
      if (payload.ok) return payload;
      if (payload.val === 'unreachable') isCertain = false;
    }
    return Err(isCertain ? 'missing' : 'unreachable');
  };

  return { replicate, read };
};

export type PayloadCopies = ReturnType<typeof newPayloadCopies>;

export default newPayloadCopies;
