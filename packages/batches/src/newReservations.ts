import type Clock from '@cyclamengate/common/Clock';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';

/** A moved item starts again within a few milliseconds unless its run ends late. */
const RESERVATION_MS = 500;

/** Holds a slot of its new engine for each item that is about to move there. */
const newReservations = (clock: Clock) => {
  const reservations = new Map<string, { upstream: string; deadline: number }>();

  const removeExpired = (): void =>
    reservations.forEach(({ deadline }, key) => {
      if (clock.now() >= deadline) reservations.delete(key);
    });

  return {
    reserve: (key: string, upstream: string): void => {
      reservations.set(key, { upstream, deadline: clock.now() + RESERVATION_MS });
    },
    release: (key: string): void => {
      reservations.delete(key);
    },
    find: (key: string): string | null => {
      removeExpired();
      return reservations.get(key)?.upstream ?? null;
    },
    /** Adds the reserved slots to the load of their engines. */
    addTo: (candidates: Candidate[]): Candidate[] => {
      removeExpired();
      if (reservations.size === 0) return candidates;
      const reserved = [...reservations.values()];
      return candidates.map((candidate) => {
        const slots = reserved.filter(({ upstream }) => upstream === candidate.entry.id).length;
        return slots === 0 ? candidate : { ...candidate, load: candidate.load + slots };
      });
    },
  };
};

export type Reservations = ReturnType<typeof newReservations>;

export default newReservations;
