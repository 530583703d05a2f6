import type Clock from '@cyclamengate/common/Clock';

/** Some megabytes are read within tens of milliseconds; an unavailable store is not waited for. */
const READ_TIMEOUT_MS = 400;

export interface TakeoverOptions {
  clock: Clock;
  /** Whether this host currently owns the batches of a subject. */
  isOwner: (subject: string) => boolean;
  /** Reads the partial texts that other hosts have written so far. */
  readParts: (deadline: number) => Promise<unknown>;
}

/**
 * Makes a host that comes to own a subject read the partial texts of the previous owner before it
 * starts.
 *
 * Otherwise items would be generated again from their first token, and the long ones would miss
 * their step. If all hosts read the partial texts all the time, they would be most of what the
 * store sends.
 */
const newTakeovers = ({ clock, isOwner, readParts }: TakeoverOptions) => {
  const prepared = new Map<string, 'reading' | 'ready'>();

  const prepare = async (subject: string): Promise<void> => {
    prepared.set(subject, 'reading');
    await readParts(clock.now() + READ_TIMEOUT_MS);
    if (prepared.has(subject)) prepared.set(subject, 'ready');
  };

  return {
    /** Discards subjects that this host no longer owns. */
    reconcile: (): void =>
      prepared.forEach((_, subject) => {
        if (!isOwner(subject)) prepared.delete(subject);
      }),
    /** Whether this host owns the subject and may start its items. */
    mayBegin: (subject: string): boolean => {
      if (!isOwner(subject)) return false;
      if (!prepared.has(subject)) prepare(subject);
      return prepared.get(subject) === 'ready';
    },
  };
};

export type Takeovers = ReturnType<typeof newTakeovers>;

export default newTakeovers;
