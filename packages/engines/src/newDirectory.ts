import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { getIncarnationKey, isSameIncarnation } from './upstreamEntry.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/**
 * During an outage of the store, entries of live upstreams expire. They are written again within
 * about 2 s of the store's recovery; an upstream whose entry is still missing after that is
 * removed.
 */
const STORE_RECOVERY_GRACE_MS = 2_300;

/** Incarnations that are gone and of which an entry may still be executed late. */
const MAX_REMEMBERED = 256;

interface ListedUpstream {
  entry: UpstreamEntry;
  /** Set if the entry was deleted but may be written again; on the monotonic clock. */
  expiresAt: number | null;
}

/** The upstreams that are listed in the store. */
const newDirectory = (clock: Clock, log: EventLog) => {
  const listed = new Map<string, ListedUpstream>();
  const removalListeners: ((entry: UpstreamEntry) => void)[] = [];
  const listingListeners: ((entry: UpstreamEntry) => void)[] = [];
  /** Sequence numbers of the last entries of incarnations that are gone. */
  const goneSequences = new Map<string, number>();
  let graceUntil = -Infinity;

  const rememberGone = (entry: UpstreamEntry): void => {
    if (typeof entry.sequence !== 'number') return;
    goneSequences.set(getIncarnationKey(entry), entry.sequence);
    const [oldest] = goneSequences.keys();
    if (goneSequences.size > MAX_REMEMBERED && oldest !== undefined) goneSequences.delete(oldest);
  };

  /**
   * Whether an entry was written before the newest one of its incarnation. A write may be executed
   * seconds late, and an upstream that has said that it is draining must not be used again.
   */
  const isLate = (entry: UpstreamEntry, before: UpstreamEntry | undefined): boolean => {
    if (typeof entry.sequence !== 'number') return false;
    const isKnown = before !== undefined && isSameIncarnation(before, entry);
    const newest = isKnown ? before.sequence : goneSequences.get(getIncarnationKey(entry));
    return typeof newest === 'number' && entry.sequence < newest;
  };

  const removeUpstream = (id: string, reason: string): void => {
    const upstream = listed.get(id);
    if (!upstream) return;
    listed.delete(id);
    rememberGone(upstream.entry);
    log.info('upstream.gone', { upstream: id, service: upstream.entry.service, reason });
    removalListeners.forEach((listener) => listener(upstream.entry));
  };

  const removeExpired = (): void =>
    [...listed].forEach(([id, { expiresAt }]) => {
      if (expiresAt !== null && clock.now() >= expiresAt)
        removeUpstream(id, 'entry not renewed after a store outage');
    });

  const logChange = (entry: UpstreamEntry, before: UpstreamEntry | undefined): void => {
    // A new version is not logged: one line per engine and step on every host would hide all
    // others.
    const hasChanged =
      !before || before.isDraining !== entry.isDraining || !isSameIncarnation(before, entry);
    if (!hasChanged) return;
    const { id, service, failureDomain, isDraining, isSpot, models } = entry;
    log.info('upstream.listed', {
      upstream: id,
      service,
      failureDomain,
      isDraining,
      isSpot,
      models: models.map(({ model, version }) => `${model}@${version}`).join(' '),
    });
  };

  return {
    put: (entry: UpstreamEntry): void => {
      const before = listed.get(entry.id)?.entry;
      if (isLate(entry, before)) {
        log.warn('upstream.entry-late', { upstream: entry.id, sequence: entry.sequence });
        return;
      }
      // A restarted upstream keeps its id, and must not be mistaken for its previous incarnation.
      if (before && !isSameIncarnation(before, entry)) removeUpstream(entry.id, 'restarted');
      logChange(entry, before);
      const isNew = !before || !isSameIncarnation(before, entry);
      // Entries may arrive out of order, and an older one may not state yet that it is cold.
      const coldUntil = isNew ? entry.coldUntil : Math.max(before.coldUntil, entry.coldUntil);
      listed.set(entry.id, { entry: { ...entry, coldUntil }, expiresAt: null });
      if (isNew) listingListeners.forEach((listener) => listener(entry));
    },
    remove: (id: string): void => {
      const upstream = listed.get(id);
      if (!upstream) return;
      // One that has said that it leaves has left.
      const isCertain = clock.now() >= graceUntil || upstream.entry.isDraining;
      if (isCertain) removeUpstream(id, 'entry deleted');
      else upstream.expiresAt = graceUntil;
    },
    /**
     * Starts the grace period for entries that expired while the store was unavailable to all, not to
     * this host alone: a deletion that was made meanwhile is final.
     */
    startGracePeriod: (): void => {
      graceUntil = clock.now() + STORE_RECOVERY_GRACE_MS;
    },
    /** The entries of all services. */
    entries: (): UpstreamEntry[] => [...listed.values()].map(({ entry }) => entry),
    all: (service: string): UpstreamEntry[] => {
      removeExpired();
      return [...listed.values()]
        .map(({ entry }) => entry)
        .filter((entry) => entry.service === service)
        .sort((left, right) => (left.id < right.id ? -1 : 1));
    },
    /** The current entry of an upstream; undefined if it is not listed. */
    find: (id: string): UpstreamEntry | undefined => {
      removeExpired();
      return listed.get(id)?.entry;
    },
    onRemoved: (listener: (entry: UpstreamEntry) => void): void => {
      removalListeners.push(listener);
    },
    /** Called with each new upstream and each new incarnation of one. */
    onListed: (listener: (entry: UpstreamEntry) => void): void => {
      listingListeners.push(listener);
    },
  };
};

export type Directory = ReturnType<typeof newDirectory>;

export default newDirectory;
