import median from '@cyclamengate/common/median';
import type { Heartbeat } from './coordinationRecord.js';

/** Beyond 100 times faster or slower than its peers a figure is a fault of the host. */
const MAX_PACE = 100;
/** Hosts that share the pace of one upstream: their median withstands one that is wrong. */
const SHARING_HOSTS = 3;

type SharingHost = Pick<Heartbeat, 'host' | 'paces'>;

const isPace = (pace: number): boolean => pace >= 1 / MAX_PACE && pace <= MAX_PACE;

/** Paces of upstreams on which all hosts with the same heartbeats agree. */
export const foldPaces = (heartbeats: readonly SharingHost[]): Map<string, number> => {
  const sharedById = new Map<string, number[]>();
  heartbeats.forEach(({ paces = {} }) =>
    Object.entries(paces).forEach(([id, pace]) => {
      if (!isPace(pace)) return;
      const shared = sharedById.get(id) ?? [];
      shared.push(pace);
      sharedById.set(id, shared);
    }),
  );
  return new Map([...sharedById].map(([id, shared]) => [id, median(shared) ?? 1]));
};

/**
 * The paces that a host has to share itself: those that enough hosts before it in the order of
 * names don't. If every host shared them, heartbeats would grow with hosts times upstreams.
 */
export const selectPacesToShare = (
  host: string,
  paces: Record<string, number>,
  heartbeats: readonly SharingHost[],
): Record<string, number> => {
  const before = heartbeats.filter((heartbeat) => heartbeat.host < host);
  const isShared = (id: string): boolean =>
    before.filter(({ paces: shared = {} }) => id in shared).length >= SHARING_HOSTS;
  return Object.fromEntries(Object.entries(paces).filter(([id]) => !isShared(id)));
};
