import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { parseJson } from '@cyclamengate/common/readBody';
import { restore } from '@cyclamengate/common/restore';
import { createTRPCClient, httpLink } from '@trpc/client';
import { z } from 'zod';
import type { Exchange } from './exchange.js';
import { exchangeSchema } from './exchange.js';
import { LONGEST_WAIT_MS, membersSeenSchema, sourcePageSchema } from './peerRouter.js';
import type { MembersSeen, PeerRouter } from './peerRouter.js';
import RecordSource from './RecordSource.js';
import type { SourceFault, SourcePage } from './RecordSource.js';
import { systemStateSchema } from './systemState.js';
import type { SystemState } from './systemState.js';
import type { UsageDelta } from './usageRecords.js';

const TIMEOUT_MS = 4_000;

/** Why a peer gave no answer: it may or may not have done what was asked. */
export type PeerFault = 'no-answer';

/**
 * One peer, as a source of records and for everything else.
 *
 * A connection to a peer can go silent while the peer is well. Every call has a timeout and its end
 * destroys the connection it used, so the next call finds out on a new one.
 */
const newPeer = (url: string) => {
  const client = createTRPCClient<PeerRouter>({ links: [httpLink({ url: `${url}/trpc` })] });

  const ask = async <T>(
    call: (signal: AbortSignal) => Promise<unknown>,
    schema: z.ZodType<T>,
    signal?: AbortSignal,
  ): Promise<Result<T, PeerFault>> => {
    const timeout = AbortSignal.timeout(TIMEOUT_MS);
    try {
      const raw = await call(signal ? AbortSignal.any([signal, timeout]) : timeout);
      const restored = restore(schema, raw);
      return restored.ok ? Ok(restored.val) : Err('no-answer');
    } catch {
      return Err('no-answer');
    }
  };

  const readSnapshot = async (signal: AbortSignal): Promise<SystemState | null> => {
    const text = await ask(
      (within) => client.snapshot.query(undefined, { signal: within }),
      z.string(),
      signal,
    );
    const raw = text.ok ? parseJson(text.val) : null;
    const state = raw?.ok ? restore(systemStateSchema, raw.val) : null;
    return state?.ok ? state.val : null;
  };

  class PeerSource extends RecordSource {
    readonly name = url;

    async read(from: number, signal: AbortSignal): Promise<Result<SourcePage, SourceFault>> {
      const page = await ask(
        (within) => client.records.query({ from, waitMs: LONGEST_WAIT_MS }, { signal: within }),
        sourcePageSchema,
        signal,
      );
      return page.ok ? page : Err('unreachable' as const);
    }

    snapshot(signal: AbortSignal): Promise<SystemState | null> {
      return readSnapshot(signal);
    }
  }

  return {
    url,
    source: new PeerSource(),
    exchange: (told: Exchange): Promise<Result<Exchange, PeerFault>> =>
      ask((signal) => client.exchange.mutate(told, { signal }), exchangeSchema),
    members: (): Promise<Result<MembersSeen, PeerFault>> =>
      ask((signal) => client.members.query(undefined, { signal }), membersSeenSchema),
    offset: (): Promise<Result<number, PeerFault>> =>
      ask((signal) => client.offset.query(undefined, { signal }), z.int()),
    keepUsage: (host: string, deltas: UsageDelta[]): Promise<Result<unknown, PeerFault>> =>
      ask((signal) => client.keepUsage.mutate({ host, deltas }, { signal }), z.unknown()),
    keepPayload: (digest: string, payload: string): Promise<Result<boolean, PeerFault>> =>
      ask((signal) => client.keepPayload.mutate({ digest, payload }, { signal }), z.boolean()),
    readPayload: (digest: string): Promise<Result<string | null, PeerFault>> =>
      ask((signal) => client.readPayload.query({ digest }, { signal }), z.string().nullable()),
  };
};

export type Peer = ReturnType<typeof newPeer>;

export default newPeer;
