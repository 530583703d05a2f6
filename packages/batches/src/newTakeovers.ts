import type Clock from '@cyclamengate/common/Clock';

/** Some megabytes are read within tens of milliseconds; a store that is away is not waited for. */
const READ_MS = 400;

export interface TakeoverOptions {
  clock: Clock;
  /** Whether this host runs the items of this kind of batch now. */
  isOwner: (subject: string) => boolean;
  /** Reads the texts that other hosts have written down until now. */
  readParts: (deadline: number) => Promise<unknown>;
}

/**
 * Lets a host that comes to own a subject read what its predecessor wrote down, before it begins.
 *
 * Begun without it, items would be made anew from their first token, and the long ones would miss
 * their step. Read all the time by all hosts, the texts would be most of what the store sends.
 */
const newTakeovers = ({ clock, isOwner, readParts }: TakeoverOptions) => {
  const prepared = new Map<string, 'reading' | 'ready'>();

  const prepare = async (subject: string): Promise<void> => {
    prepared.set(subject, 'reading');
    await readParts(clock.now() + READ_MS);
    if (prepared.has(subject)) prepared.set(subject, 'ready');
  };

  return {
    /** Forgets what is no longer this host's. */
    reconcile: (): void =>
      prepared.forEach((_, subject) => {
        if (!isOwner(subject)) prepared.delete(subject);
      }),
    /** Whether this host owns the subject and may begin its items. */
    mayBegin: (subject: string): boolean => {
      if (!isOwner(subject)) return false;
      if (!prepared.has(subject)) prepare(subject);
      return prepared.get(subject) === 'ready';
    },
  };
};

export type Takeovers = ReturnType<typeof newTakeovers>;

export default newTakeovers;
