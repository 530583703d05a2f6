import Places from './Places.js';
import type { Ticket } from './ticket.js';

export interface LocalSlotsOptions {
  /** Fraction of the slots reserved for customers that run less than their share. */
  reservedPart: number;
  getShare: (customer: string) => number;
  /** Whether a customer is below its limit on this host. */
  isBelowLimit: (customer: string) => boolean;
}

/** The places of a service as this host's share of its slots. */
const newLocalSlots = ({ reservedPart, getShare, isBelowLimit }: LocalSlotsOptions) => {
  const runningByCustomer = new Map<string, number>();
  let slots = 0;
  let running = 0;

  /**
   * Whether a customer may take a slot now or has to leave it to other customers.
   *
   * Requests that start together end together. If one customer occupied all slots, another one that
   * arrives would wait for most of a generation even if it is next in the queue. A customer that
   * runs more than its share therefore leaves a fraction of the slots to those that run less.
   */
  const hasSlotFor = (customer: string): boolean => {
    if (running < slots * (1 - reservedPart)) return true;
    const active = new Set([...runningByCustomer.keys(), customer]);
    const totalShares = [...active].reduce((sum, name) => sum + getShare(name), 0);
    return (runningByCustomer.get(customer) ?? 0) < (slots * getShare(customer)) / totalShares;
  };

  const adjustRunning = (customer: string, change: number): void => {
    const count = (runningByCustomer.get(customer) ?? 0) + change;
    running += change;
    if (count === 0) runningByCustomer.delete(customer);
    else runningByCustomer.set(customer, count);
  };

  class LocalSlots extends Places {
    isAvailable(): boolean {
      return slots > 0;
    }

    mayStart({ customer }: Ticket): boolean {
      return running < slots && isBelowLimit(customer) && hasSlotFor(customer);
    }

    count(): number {
      return Math.max(1, slots);
    }

    begin({ customer }: Ticket): void {
      adjustRunning(customer, 1);
    }

    end({ customer }: Ticket): void {
      adjustRunning(customer, -1);
    }

    /** @param count this host's share of the slots; 0 while no upstream is usable */
    set(count: number): void {
      slots = count;
    }
  }
  return new LocalSlots();
};

export default newLocalSlots;
