import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { z } from 'zod';

const MAX_NAME_LENGTH = 256;

/** The newest state of a failure domain's evacuation. */
export const evacuationSchema = z.object({
  failureDomain: z.string().min(1).max(MAX_NAME_LENGTH),
  isEvacuated: z.boolean(),
  /** Offset of the operator's record, or of the snapshot that no longer had it. */
  offset: z.int().min(0),
});

export type Evacuation = z.infer<typeof evacuationSchema>;

export interface EvacuationOptions {
  clock: Clock;
  log: EventLog;
}

/**
 * The failure domains that the operator has evacuated: nothing is sent to their upstreams until the
 * operator takes the evacuation back.
 */
const newEvacuations = ({ clock, log }: EvacuationOptions) => {
  const newest = new Map<string, Evacuation>();
  /** When each evacuation was taken back, on the monotonic clock. */
  const restoredAt = new Map<string, number>();

  const isNewer = ({ failureDomain, isEvacuated, offset }: Evacuation): boolean => {
    const known = newest.get(failureDomain);
    if (!known) return true;
    // A snapshot ends at the offset that the next record gets, so a new evacuation may have it too.
    const isAfterSnapshot = offset === known.offset && isEvacuated && !known.isEvacuated;
    return offset > known.offset || isAfterSnapshot;
  };

  const isEvacuated = (failureDomain: string): boolean =>
    newest.get(failureDomain)?.isEvacuated ?? false;

  return {
    /** Whether any record of a domain was applied. */
    isKnown: (failureDomain: string): boolean => newest.has(failureDomain),
    /** @param from where this host learned of it, for the log */
    apply: (evacuation: Evacuation, from: string): void => {
      if (!isNewer(evacuation)) return;
      const { failureDomain, offset } = evacuation;
      const wasEvacuated = isEvacuated(failureDomain);
      newest.set(failureDomain, evacuation);
      if (wasEvacuated === evacuation.isEvacuated) return;
      if (wasEvacuated) restoredAt.set(failureDomain, clock.now());
      log.info(wasEvacuated ? 'domain.restored' : 'domain.evacuated', {
        failureDomain,
        offset,
        from,
      });
    },
    isEvacuated,
    /** When the last evacuation of a failure domain was taken back; minus infinity if none was. */
    restoredAt: (failureDomain: string): number => restoredAt.get(failureDomain) ?? -Infinity,
    /** Evacuated failure domains. */
    list: (): string[] => [...newest.keys()].filter(isEvacuated),
    /** The newest state of all failure domains that were ever evacuated, for peers. */
    all: (): Evacuation[] => [...newest.values()],
  };
};

export type Evacuations = ReturnType<typeof newEvacuations>;

export default newEvacuations;
