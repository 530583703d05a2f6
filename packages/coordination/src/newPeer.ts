import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import parseJson from '@cyclamengate/common/parseJson';
import { restore } from '@cyclamengate/common/restore';
import { createTRPCClient, httpLink } from '@trpc/client';
import { z } from 'zod';
import type { Exchange } from './exchange.js';
import { exchangeSchema } from './exchange.js';
import { MAX_WAIT_MS, membersViewSchema, sourcePageSchema } from './peerRouter.js';
import type { MembersView, PeerRouter } from './peerRouter.js';
import RecordSource from './RecordSource.js';
import type { SourceFault, SourcePage } from './RecordSource.js';
import { systemStateSchema } from './systemState.js';
import type { SystemState } from './systemState.js';
import type { UsageDelta } from './usageRecords.js';

const CALL_TIMEOUT_MS = 4_000;

/** The peer did not answer; it may or may not have executed the call. */
export type PeerFault = 'no-answer';

/**
 * A client for one peer, which is also a source of records.
 *
 * A connection can become unresponsive while the peer itself is healthy. So every call has a
 * timeout that destroys the connection, and the next call opens a new one.
 */
const newPeer = (url: string) => {
  const client = createTRPCClient<PeerRouter>({ links: [httpLink({ url: `${url}/trpc` })] });

  const request = async <T>(
    call: (signal: AbortSignal) => Promise<unknown>,
    schema: z.ZodType<T>,
    signal?: AbortSignal,
  ): Promise<Result<T, PeerFault>> => {
    const timeout = AbortSignal.timeout(CALL_TIMEOUT_MS);
    try {
      const raw = await call(signal ? AbortSignal.any([signal, timeout]) : timeout);
      const restored = restore(schema, raw);
      return restored.ok ? Ok(restored.val) : Err('no-answer');
    } catch {
      return Err('no-answer');
    }
  };

  const readSnapshot = async (signal: AbortSignal): Promise<SystemState | null> => {
    const text = await request(
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
      const page = await request(
        (within) => client.records.query({ from, waitMs: MAX_WAIT_MS }, { signal: within }),
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
    exchange: (sent: Exchange): Promise<Result<Exchange, PeerFault>> =>
      request((signal) => client.exchange.mutate(sent, { signal }), exchangeSchema),
    members: (): Promise<Result<MembersView, PeerFault>> =>
      request((signal) => client.members.query(undefined, { signal }), membersViewSchema),
    offset: (): Promise<Result<number, PeerFault>> =>
      request((signal) => client.offset.query(undefined, { signal }), z.int()),
    keepUsage: (host: string, deltas: UsageDelta[]): Promise<Result<unknown, PeerFault>> =>
      request((signal) => client.keepUsage.mutate({ host, deltas }, { signal }), z.unknown()),
    keepPayload: (digest: string, payload: string): Promise<Result<boolean, PeerFault>> =>
      request((signal) => client.keepPayload.mutate({ digest, payload }, { signal }), z.boolean()),
    readPayload: (digest: string): Promise<Result<string | null, PeerFault>> =>
      request((signal) => client.readPayload.query({ digest }, { signal }), z.string().nullable()),
  };
};

export type Peer = ReturnType<typeof newPeer>;

export default newPeer;
