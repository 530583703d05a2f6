import type Clock from '@cyclamengate/common/Clock';
import Places from '@cyclamengate/routing/Places';
import proportionalShare from '@cyclamengate/routing/proportionalShare';
import type { Ticket } from '@cyclamengate/routing/ticket';
import newCounts from './newCounts.js';
import type { PlaceReader } from './newPlaceReader.js';
import { BACKGROUND } from './workClasses.js';

/** How long a service counts as scarce after all its places were taken. */
const SCARCITY_MEMORY_MS = 1_000;
/** How long a customer competes for places after its last request. */
const CUSTOMER_MEMORY_MS = 1_000;
/**
 * Time between two starts of background work over its share: what other hosts start meanwhile shows
 * in the next load reports.
 */
const OVER_SHARE_INTERVAL_MS = 10;

/** What a service's places are divided by; checked where the host's settings are read. */
export interface ShareSettings {
  /** Fraction of the places kept free of background work and of customers over their share. */
  reservedPart: number;
  /** Fraction of the places that background work gets however many callers there are. */
  floorPart: number;
  /** Maximum number of a customer's waiting requests at one service on one host. */
  maxWaiting: number;
}

/** Requests that other hosts run or have waiting at a service, by host. */
export interface DemandElsewhere {
  callers: number[];
  background: number[];
}

export interface ServicePlacesOptions {
  clock: Clock;
  service: string;
  shares: ShareSettings;
  reader: PlaceReader;
  /** Empty when other hosts' heartbeats are lost. */
  readDemandElsewhere: (service: string) => DemandElsewhere;
  getShare: (customer: string) => number;
  /** Number of this host's requests that wait, of background work or of callers. */
  countWaiting: (isBackground: boolean) => number;
}

const isBackground = ({ priority }: Ticket): boolean => priority === BACKGROUND;

const sum = (numbers: readonly number[]): number =>
  numbers.reduce((total, number) => total + number, 0);

/**
 * The places of a service's upstreams, as one host may use them.
 *
 * While a place is free, a caller's request starts. Load reports of other hosts' requests are old by
 * the time they count, so while none seems free each host still uses its share of the places, in
 * proportion to demand; the shares add up to about all places, and the upstreams' own queues bear the
 * rest. Background work starts only while a reserve stays free, but never has to stop.
 */
const newServicePlaces = (options: ServicePlacesOptions) => {
  const { clock, service, shares, reader, readDemandElsewhere, getShare, countWaiting } = options;
  const runningByPool = newCounts();
  const runningByCustomer = newCounts();
  const runningByClass = newCounts();
  const lastSeen = new Map<string, number>();
  let lastFullAt = -Infinity;
  let nextOverShareAt = -Infinity;

  const countCallers = (): number => runningByPool.total();
  const countBackground = (): number => runningByClass.get(BACKGROUND);

  const reserveOf = (total: number): number => Math.max(1, Math.ceil(total * shares.reservedPart));

  const shareOfCallers = (total: number): number =>
    proportionalShare(
      total,
      countCallers() + countWaiting(false),
      readDemandElsewhere(service).callers,
    );

  /** Only hosts with background work divide it; with no word of others, this host counts alone. */
  const shareOfBackground = (total: number): number =>
    proportionalShare(
      total,
      countBackground() + countWaiting(true),
      readDemandElsewhere(service).background.filter((demand) => demand > 0),
    );

  const isScarce = (): boolean => clock.now() < lastFullAt + SCARCITY_MEMORY_MS;

  /** This and the other customers that lately had requests here. */
  const listCompetitors = (customer: string): string[] => {
    lastSeen.forEach((at, name) => {
      const isGone = at + CUSTOMER_MEMORY_MS <= clock.now() && runningByCustomer.get(name) === 0;
      if (isGone) lastSeen.delete(name);
    });
    return [...new Set([...lastSeen.keys(), customer])];
  };

  /** Whether a customer is below its part of this host's share. */
  const isUnderShare = ({ customer }: Ticket, total: number, competitors: string[]): boolean => {
    const part = getShare(customer) / sum(competitors.map(getShare));
    const guaranteed = shareOfCallers(total) * part;
    return runningByCustomer.get(customer) < Math.max(1, Math.floor(guaranteed));
  };

  /** Whether a customer has to leave the reserve to others: it is over its share, and not alone. */
  const mustLeaveReserve = (ticket: Ticket, total: number): boolean => {
    if (!isScarce()) return false;
    const competitors = listCompetitors(ticket.customer);
    const isAlone = competitors.length === 1 && sum(readDemandElsewhere(service).callers) === 0;
    return !isAlone && !isUnderShare(ticket, total, competitors);
  };

  const mayStartCaller = (ticket: Ticket): boolean => {
    const { pool = '' } = ticket;
    if (reader.hasFree(service, pool)) {
      if (!isScarce()) return true;
      const { total, free } = reader.count(service, pool);
      return free > reserveOf(total) || !mustLeaveReserve(ticket, total);
    }
    const { total } = reader.count(service, pool);
    // Without any upstream the relay refuses the request with the reason.
    if (total === 0) return true;
    lastFullAt = clock.now();
    return runningByPool.get(pool) < shareOfCallers(total) && !mustLeaveReserve(ticket, total);
  };

  const limitOfBackground = (total: number): number =>
    shareOfBackground(Math.max(1, total - reserveOf(total)));

  const mayStartBackground = ({ pool = '' }: Ticket): boolean => {
    if (countBackground() === 0) return true;
    const { total, certainlyFree, spare } = reader.count(service, pool);
    if (total === 0) return true;
    if (countBackground() < shareOfBackground(Math.ceil(total * shares.floorPart))) return true;
    if (spare === 0 || certainlyFree <= reserveOf(total)) return false;
    return countBackground() < limitOfBackground(total) || clock.now() >= nextOverShareAt;
  };

  class ServicePlaces extends Places {
    isAvailable(): boolean {
      return true;
    }

    mayStart(ticket: Ticket): boolean {
      return isBackground(ticket) ? mayStartBackground(ticket) : mayStartCaller(ticket);
    }

    count(ticket: Ticket): number {
      const { total } = reader.count(service, ticket.pool ?? '');
      return isBackground(ticket) ? limitOfBackground(total) : shareOfCallers(total);
    }

    begin(ticket: Ticket): void {
      if (isBackground(ticket)) {
        const { total } = reader.count(service, ticket.pool ?? '');
        const isOverShare = countBackground() >= limitOfBackground(total);
        if (isOverShare) nextOverShareAt = clock.now() + OVER_SHARE_INTERVAL_MS;
      } else {
        lastSeen.set(ticket.customer, clock.now());
        runningByCustomer.adjust(ticket.customer, 1);
        runningByPool.adjust(ticket.pool ?? '', 1);
      }
      runningByClass.adjust(ticket.priority, 1);
      reader.invalidate();
    }

    end(ticket: Ticket): void {
      if (!isBackground(ticket)) {
        runningByCustomer.adjust(ticket.customer, -1);
        runningByPool.adjust(ticket.pool ?? '', -1);
      }
      runningByClass.adjust(ticket.priority, -1);
      reader.invalidate();
    }

    countRunning(priority: string): number {
      return runningByClass.get(priority);
    }

    /** Callers' running requests by customer. */
    listRunning(): [string, number][] {
      return runningByCustomer.entries();
    }
  }
  return new ServicePlaces();
};

export type ServicePlaces = ReturnType<typeof newServicePlaces>;

export default newServicePlaces;
