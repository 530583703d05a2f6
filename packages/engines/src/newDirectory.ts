import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { isSameRun } from './upstreamEntry.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/**
 * While the store is away entries lapse though their upstreams live; they are written again within
 * about two seconds of its return. One that is missing after that is gone.
 */
const BACK_GRACE_MS = 2_300;

interface Known {
  entry: UpstreamEntry;
  /** Set when the entry was dropped but may come back. */
  goneAt: number | null;
}

/** The upstreams that the store lists. */
const newDirectory = (clock: Clock, log: EventLog) => {
  const known = new Map<string, Known>();
  const listeners: ((entry: UpstreamEntry) => void)[] = [];
  let graceUntil = -Infinity;

  const forget = (id: string, reason: string): void => {
    const found = known.get(id);
    if (!found) return;
    known.delete(id);
    log.info('upstream.gone', { upstream: id, service: found.entry.service, reason });
    listeners.forEach((listener) => listener(found.entry));
  };

  const dropLapsed = (): void =>
    [...known].forEach(([id, { goneAt }]) => {
      if (goneAt !== null && clock.now() >= goneAt) forget(id, 'not back after an outage');
    });

  const noteChange = (entry: UpstreamEntry, before: UpstreamEntry | undefined): void => {
    // Not of each new version: on each host that is a line an engine and step, and drowns all others.
    const isNews = !before || before.isDraining !== entry.isDraining || !isSameRun(before, entry);
    if (!isNews) return;
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
      const before = known.get(entry.id)?.entry;
      // A run that ended must not be taken for the one that follows it under the same id.
      if (before && !isSameRun(before, entry)) forget(entry.id, 'started anew');
      noteChange(entry, before);
      known.set(entry.id, { entry, goneAt: null });
    },
    drop: (id: string): void => {
      const found = known.get(id);
      if (!found) return;
      if (clock.now() >= graceUntil) forget(id, 'entry dropped');
      else found.goneAt = graceUntil;
    },
    /** The store answers again: what was dropped meanwhile may be back soon. */
    storeIsBack: (): void => {
      graceUntil = clock.now() + BACK_GRACE_MS;
    },
    all: (service: string): UpstreamEntry[] => {
      dropLapsed();
      return [...known.values()]
        .map(({ entry }) => entry)
        .filter((entry) => entry.service === service)
        .sort((left, right) => (left.id < right.id ? -1 : 1));
    },
    /** The newest entry of that run, unless it is gone. */
    find: (id: string): UpstreamEntry | undefined => {
      dropLapsed();
      return known.get(id)?.entry;
    },
    onGone: (listener: (entry: UpstreamEntry) => void): void => {
      listeners.push(listener);
    },
  };
};

export type Directory = ReturnType<typeof newDirectory>;

export default newDirectory;
