import type Clock from '@cyclamengate/common/Clock';
import type { Member } from '@cyclamengate/coordination/member';
import type { QueuePolicyName } from '@cyclamengate/settings/hostSettings';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import { PRIORITY_SHARES } from './classShares.js';
import newAdmissionQueue from './newAdmissionQueue.js';
import newLocalSlots from './newLocalSlots.js';
import proportionalShare from './proportionalShare.js';

/** Bounds on the delay after which a refused caller is told to retry. */
const RETURN_DELAYS = { minMs: 1_000, maxMs: 60_000 };

const INITIAL_HOLD_MS = 200;

export interface AdmissionOptions {
  clock: Clock;
  service: string;
  policy: QueuePolicyName;
  /** Fraction of the slots reserved for customers that run less than their share. */
  reservedPart: number;
  readSettings: () => EffectiveSettings;
  /** The other live entries, with their running requests and their demand. */
  otherEntries: () => Member[];
  /** Number of a customer's requests that run on this host, in all services. */
  countInFlight: (customer: string) => number;
}

/** Admission to one service of an entry, whose slots and limits are split among the entries. */
const newAdmission = (options: AdmissionOptions) => {
  const { clock, service, policy, readSettings, otherEntries, countInFlight } = options;

  const computeLocalLimit = (customer: string): number => {
    const limit = readSettings().customers.get(customer)?.maxInFlight ?? 1;
    const others = otherEntries().map(({ inFlight }) => inFlight[customer] ?? 0);
    return proportionalShare(limit, countInFlight(customer), others);
  };

  const getShare = (customer: string): number => readSettings().customers.get(customer)?.share ?? 1;

  const localSlots = newLocalSlots({
    reservedPart: policy === 'fifo' ? 0 : options.reservedPart,
    getShare,
    isBelowLimit: (customer) => countInFlight(customer) < computeLocalLimit(customer),
  });
  const queue = newAdmissionQueue({
    clock,
    policy,
    classShares: PRIORITY_SHARES,
    yieldingClass: null,
    places: localSlots,
    getShare,
    getMaxQueued: (customer) => readSettings().customers.get(customer)?.maxQueued ?? 1,
    initialHoldMs: INITIAL_HOLD_MS,
    returnDelays: RETURN_DELAYS,
  });

  /** Sets this host's places to its share of the service's slots. */
  const setSlots = (slots: number): void => {
    const others = otherEntries().map((member) => member.demand[service] ?? 0);
    localSlots.set(slots === 0 ? 0 : proportionalShare(slots, queue.demand(), others));
    queue.refresh();
  };

  const { run, demand, correct, countQueued } = queue;
  return { run, setSlots, demand, correct, countQueued };
};

export type Admission = ReturnType<typeof newAdmission>;

export default newAdmission;
