import type Clock from '@cyclamengate/common/Clock';
import describeError from '@cyclamengate/common/describeError';
import { describeHomes } from '@cyclamengate/common/homes';
import type { Homes } from '@cyclamengate/common/homes';
import type { EventLog } from '@cyclamengate/common/newEventLog';

/** Some megabytes are read within tens of milliseconds; an unavailable store is not waited for. */
const READ_TIMEOUT_MS = 400;

export interface TakeoverOptions {
  clock: Clock;
  log: EventLog;
  /** Whether this host currently owns the batches of a subject that may run in some regions. */
  isOwner: (subject: string, homes: Homes) => boolean;
  /** Reads the partial texts that other hosts have written so far. */
  readParts: (deadline: number) => Promise<unknown>;
}

interface Takeover {
  subject: string;
  homes: Homes;
  phase: 'reading' | 'ready';
}

/**
 * Makes a host that comes to own a subject read the partial texts of the previous owner before it
 * starts.
 *
 * Otherwise items would be generated again from their first token, and the long ones would miss
 * their step. If all hosts read the partial texts all the time, they would be most of what the
 * store sends.
 */
const newTakeovers = ({ clock, log, isOwner, readParts }: TakeoverOptions) => {
  const takeovers = new Map<string, Takeover>();

  const prepare = async (key: string, subject: string, homes: Homes): Promise<void> => {
    const takeover: Takeover = { subject, homes, phase: 'reading' };
    takeovers.set(key, takeover);
    try {
      await readParts(clock.now() + READ_TIMEOUT_MS);
      takeover.phase = 'ready';
    } catch (error) {
      // Prepared anew with the next question; items of a takeover that stays here would never begin.
      log.error('batches.take-over-broken', { subject, ...describeError(error) });
      takeovers.delete(key);
    }
  };

  return {
    /** Discards subjects that this host no longer owns. */
    reconcile: (): void =>
      takeovers.forEach(({ subject, homes }, key) => {
        if (!isOwner(subject, homes)) takeovers.delete(key);
      }),
    /** Whether this host owns the subject and may start its items. */
    mayBegin: (subject: string, homes: Homes): boolean => {
      if (!isOwner(subject, homes)) return false;
      const key = `${subject} ${describeHomes(homes)}`;
      if (!takeovers.has(key)) void prepare(key, subject, homes);
      return takeovers.get(key)?.phase === 'ready';
    },
  };
};

export type Takeovers = ReturnType<typeof newTakeovers>;

export default newTakeovers;
