import type { Peers } from '@cyclamengate/batches/newPeers';
import { MAX_EXCHANGED_CRASHES } from '@cyclamengate/batches/peerRouter';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { OddValues } from '@cyclamengate/common/newOddValues';
import parseRecord from '@cyclamengate/common/parseRecord';
import { restore } from '@cyclamengate/common/restore';
import type { CrashHistory } from '@cyclamengate/engines/newCrashHistory';
import { upstreamCrashSchema } from '@cyclamengate/engines/upstreamCrash';
import type { UpstreamCrash } from '@cyclamengate/engines/upstreamCrash';
import newKeyedFollower from '@cyclamengate/store/newKeyedFollower';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type Store from '@cyclamengate/store/Store';
import type { KeyedRecord } from '@cyclamengate/store/Store';

/** The store retains the newest record of each key, so hosts that start later learn of a crash too. */
const TOPIC = 'keyed.crashes';
const READ_INTERVAL_MS = 100;
/** There are mostly no crashes, so most reads end by this timeout. */
const READ_WAIT_MS = 2_000;
/** Covers an outage of the store. */
const WRITE_TIMEOUT_MS = 30_000;
const EXCHANGE_INTERVAL_MS = 500;
const EXPIRY_INTERVAL_MS = 30_000;

export interface CrashSharingOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  oddValues: OddValues;
  incarnation: string;
  history: CrashHistory;
  peers: Pick<Peers, 'exchangeCrashes'>;
  /** Whether this host reads the store. */
  isFresh: () => boolean;
  /** Whether this host deletes the expired records. */
  isOwner: () => boolean;
  /** Factor by which the time between reads grows with the number of hosts. */
  readIntervalFactor: () => number;
}

const KEY_SEPARATOR = '/';
/** The length of a key is stored in one byte. */
const MAX_KEY_BYTES = 255;

const formatKey = ({ digest, upstream }: UpstreamCrash): string =>
  `${digest}${KEY_SEPARATOR}${upstream}`;

/** A digest has no separator, but an upstream's name may have one. */
const parseKey = (key: string): Pick<UpstreamCrash, 'digest' | 'upstream'> => {
  const position = key.indexOf(KEY_SEPARATOR);
  return { digest: key.slice(0, position), upstream: key.slice(position + 1) };
};

const parseCrash = (value: Buffer) => restore(upstreamCrashSchema, parseRecord(value));

/**
 * Shares with all hosts which requests ran on upstreams that ended: through the store, and directly
 * with peers while this host does not reach it, since the caller of such a request may send it to
 * any host.
 */
const newCrashSharing = (options: CrashSharingOptions) => {
  const { clock, log, store, oddValues, incarnation, history, peers, isFresh, isOwner } = options;
  const writer = newStoreWriter({ clock, log, store, topic: TOPIC, producer: incarnation });

  const write = async (given: UpstreamCrash[], isDeletion: boolean): Promise<void> => {
    const crashes = given.filter((crash) => Buffer.byteLength(formatKey(crash)) <= MAX_KEY_BYTES);
    if (crashes.length < given.length) {
      log.warn('crashes.unwritten', {
        count: given.length - crashes.length,
        outcome: 'key too long',
      });
    }
    if (crashes.length === 0) return;
    const records = crashes.map((crash) =>
      store.encodeKeyed(formatKey(crash), isDeletion ? null : Buffer.from(JSON.stringify(crash))),
    );
    const outcome = await writer.write(records, clock.now() + WRITE_TIMEOUT_MS);
    if (outcome !== 'written') log.warn('crashes.unwritten', { count: records.length, outcome });
  };

  const addReceived = (crash: UpstreamCrash, from: 'store' | 'peer'): void => {
    if (history.merge(crash)) log.info('crash.received', { ...crash, from });
  };

  const apply = ({ key, value, offset }: KeyedRecord): void => {
    if (value === null) {
      const { digest, upstream } = parseKey(key);
      history.remove(digest, upstream);
      return;
    }
    const crash = parseCrash(value);
    if (!crash.ok) {
      const problems = crash.val.slice(0, 3);
      oddValues.reject('crashes', 'record.unreadable', { topic: TOPIC, offset, problems });
      return;
    }
    // Its deletion by another key would not take it back.
    const reason = formatKey(crash.val) === key ? null : 'key of another crash';
    const fault = history.isFromFuture(crash.val) ? 'in the future' : reason;
    if (fault === null) addReceived(crash.val, 'store');
    else oddValues.reject('crashes', 'record.unreadable', { topic: TOPIC, offset, reason: fault });
  };

  const follower = newKeyedFollower({
    clock,
    log,
    store,
    topic: TOPIC,
    oddValues,
    source: 'crashes',
    readIntervalMs: () => READ_INTERVAL_MS * options.readIntervalFactor(),
    readWaitMs: () => READ_WAIT_MS * options.readIntervalFactor(),
    apply,
  });

  /** Without the store, each host passes what it knows on to some others. */
  const exchange = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const next = clock.now() + EXCHANGE_INTERVAL_MS;
      if (!isFresh()) {
        const received = await peers.exchangeCrashes(history.newest(MAX_EXCHANGED_CRASHES));
        received.forEach((crash) => addReceived(crash, 'peer'));
      }
      await clock.sleepUntil(next, signal);
    }
  };

  /** Reads the store's records, since no host may still remember those that are too old. */
  const deleteExpired = async (signal: AbortSignal): Promise<void> => {
    const snapshot = await store.newest(TOPIC, signal);
    if (!snapshot.ok) return;
    const expired = snapshot.val.records.flatMap(({ key, value }) => {
      const crash = value && parseCrash(value);
      const isExpired = crash?.ok && formatKey(crash.val) === key && history.isExpired(crash.val);
      return isExpired ? [crash.val] : [];
    });
    if (expired.length > 0) await write(expired, true);
  };

  const expire = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await clock.sleepUntil(clock.now() + EXPIRY_INTERVAL_MS, signal);
      history.forgetExpired();
      if (isOwner()) await deleteExpired(signal);
    }
  };

  return {
    run: async (signal: AbortSignal): Promise<void> => {
      history.onAdded((crash) => write([crash], false));
      history.onAnswered((crashes) => write(crashes, true));
      await Promise.all([follower.run(signal), exchange(signal), expire(signal)]);
    },
  };
};

export type CrashSharing = ReturnType<typeof newCrashSharing>;

export default newCrashSharing;
