import type Clock from '@cyclamengate/common/Clock';
import type { Homes } from '@cyclamengate/common/homes';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import { Err } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import newAdmissionQueue from '@cyclamengate/routing/newAdmissionQueue';
import type { Refusal as QueueRefusal } from '@cyclamengate/routing/refusal';
import type { Ticket } from '@cyclamengate/routing/ticket';
import type newLineLimit from './newLineLimit.js';
import type { PlaceReader } from './newPlaceReader.js';
import newServicePlaces from './newServicePlaces.js';
import type { DemandElsewhere, ShareSettings } from './newServicePlaces.js';
import type { Refusal } from './refusal.js';
import { notRun } from './refusal.js';
import { BACKGROUND, WORK_CLASS_SHARES } from './workClasses.js';
import type { WorkClass } from './workClasses.js';

/** Until a service's calls were measured. */
const INITIAL_HOLD_MS = 45;
/** A start that takes no longer has not waited. */
const MAX_START_MS = 1;
/** Bounds on the time until a refused caller returns; its own patience is some seconds. */
const RETURN_DELAYS = { minMs: 50, maxMs: 10_000 };

/** A plain request or scoring call that needs a place. */
export interface Work {
  requestId: string;
  service: string;
  homes: Homes;
  /** Null for anyone. */
  customer: string | null;
  workClass: WorkClass;
  /** By when it must be done, on the monotonic clock; infinite if it waits as long as it takes. */
  deadline: number;
  /** Within background work the lowest goes first; the time at which its batch was accepted. */
  order: number;
}

export interface ServiceAdmissionOptions {
  clock: Clock;
  metrics: Metrics;
  writeLine: ReturnType<typeof newLineLimit>;
  service: string;
  shares: ShareSettings;
  reader: PlaceReader;
  readDemandElsewhere: (service: string) => DemandElsewhere;
  getShare: (customer: string) => number;
  random?: () => number;
}

const NONE: ReadonlySet<string> = new Set();
const CLASSES = Object.keys(WORK_CLASS_SHARES) as WorkClass[];

/** Admission of plain requests and scoring calls to the places of one service, on one host. */
const newServiceAdmission = (options: ServiceAdmissionOptions) => {
  const { clock, metrics, writeLine, service, shares, reader, getShare } = options;
  let countWaiting = (_isBackground: boolean): number => 0;
  const places = newServicePlaces({
    ...options,
    countWaiting: (isBackground) => countWaiting(isBackground),
  });
  const queue = newAdmissionQueue({
    clock,
    policy: 'fair',
    classShares: WORK_CLASS_SHARES,
    yieldingClass: BACKGROUND,
    places,
    getShare,
    getMaxQueued: () => shares.maxWaiting,
    initialHoldMs: INITIAL_HOLD_MS,
    returnDelays: RETURN_DELAYS,
    random: options.random,
  });

  countWaiting = (isBackground): number => {
    const background = queue.countQueuedOf(BACKGROUND);
    return isBackground ? background : queue.countQueued() - background;
  };

  const newTicket = ({ customer, workClass, homes, deadline, order }: Work): Ticket => ({
    customer: customer ?? '',
    priority: workClass,
    // Places are shared by time: who sends long requests starts fewer of them.
    cost: queue.expectHoldMs(workClass),
    // What can't be done in its time is not started.
    deadline: deadline - queue.expectHoldMs(workClass),
    isCancelled: false,
    pool: reader.poolOf(homes),
    order,
  });

  /** What a decision on a request was based on. */
  const describeInputs = (ticket: Ticket) => {
    const { total, free, reportAgeMs } = reader.count(service, ticket.pool ?? '');
    return {
      service,
      customer: ticket.customer,
      workClass: ticket.priority,
      waitingAhead: Math.round(queue.countStartsAhead(ticket)),
      places: total,
      free,
      ownPlaces: places.count(ticket),
      expectedWaitMs: Math.round(queue.estimateWaitMs(ticket)),
      reportAgeMs: reportAgeMs === null ? null : Math.round(reportAgeMs),
    };
  };

  const toRefusal = (work: Work, ticket: Ticket, { code, retryAt }: QueueRefusal): Refusal => {
    const refusal = notRun(code, Math.max(0, (retryAt ?? clock.now()) - clock.now()));
    metrics.count(`admission_refused_${code.replaceAll('-', '_')}`);
    writeLine('admission.refused', () => ({
      requestId: work.requestId,
      code,
      retryAfterMs: Math.round(refusal.retryAfterMs ?? 0),
      ...describeInputs(ticket),
    }));
    return refusal;
  };

  const noteQueuedStart = (work: Work, ticket: Ticket, waitedMs: number): void => {
    metrics.observe('admission_wait', waitedMs);
    writeLine('admission.started', () => ({
      requestId: work.requestId,
      waitedMs: Math.round(waitedMs),
      ...describeInputs(ticket),
    }));
  };

  /** Upstreams at which background work must not take the last places. */
  const findCrowded = ({ priority, pool = '' }: Ticket): ReadonlySet<string> =>
    priority === BACKGROUND ? reader.listCrowded(service, pool) : NONE;

  /**
   * Runs work in a place, at once if there is one; refused work has not run and never will.
   * @param start is told which upstreams to leave to others
   */
  const run = async <T>(
    work: Work,
    start: (crowded: ReadonlySet<string>) => Promise<T>,
    signal: AbortSignal,
  ): Promise<Result<T, Refusal>> => {
    const ticket = newTicket(work);
    const arrivedAt = clock.now();
    const startInPlace = async (): Promise<T> => {
      const startedAt = clock.now();
      if (startedAt > arrivedAt + MAX_START_MS)
        noteQueuedStart(work, ticket, startedAt - arrivedAt);
      try {
        return await start(findCrowded(ticket));
      } finally {
        queue.correct(ticket, clock.now() - startedAt);
      }
    };
    const outcome = await queue.run(ticket, startInPlace, signal);
    return outcome.ok ? outcome : Err(toRefusal(work, ticket, outcome.val));
  };

  const describe = () => {
    const { total, free, reportAgeMs } = reader.count(service, reader.poolOf(null));
    /** For a customer that has nothing waiting. */
    const expectWaitMs = (workClass: WorkClass): number => {
      const work: Work = {
        requestId: '',
        service,
        homes: null,
        customer: null,
        workClass,
        deadline: Number.POSITIVE_INFINITY,
        order: 0,
      };
      return Math.round(queue.estimateWaitMs(newTicket(work)));
    };
    return {
      service,
      places: total,
      free,
      reportAgeMs,
      waiting: queue.listQueued(),
      running: places
        .listRunning()
        .map(([customer, count]) => ({ customer, count, share: getShare(customer) })),
      classes: CLASSES.map((workClass) => ({
        workClass,
        running: places.countRunning(workClass),
        waiting: queue.countQueuedOf(workClass),
        expectedWaitMs: expectWaitMs(workClass),
      })),
    };
  };

  const registerGauges = (): void => {
    const nameService = JSON.stringify(service);
    CLASSES.forEach((workClass) => {
      const labels = `{service=${nameService},class="${workClass}"}`;
      metrics.gauge(`admission_waiting${labels}`, () => queue.countQueuedOf(workClass));
      metrics.gauge(`admission_running${labels}`, () => places.countRunning(workClass));
    });
    metrics.gauge(`admission_expected_wait_ms{service=${nameService}}`, () =>
      Math.max(...describe().classes.map(({ expectedWaitMs }) => expectedWaitMs)),
    );
  };
  registerGauges();

  return {
    run,
    refresh: queue.refresh,
    countWaiting: queue.countQueued,
    demand: queue.demand,
    demandOfBackground: (): number =>
      places.countRunning(BACKGROUND) + queue.countQueuedOf(BACKGROUND),
    /** Time until the caller of a request that upstreams refused may return. */
    computeReturnMs: (work: Work): number => {
      const ticket = newTicket(work);
      return queue.computeRetryAt(ticket, queue.estimateWaitMs(ticket)) - clock.now();
    },
    describe,
  };
};

export type ServiceAdmission = ReturnType<typeof newServiceAdmission>;

export default newServiceAdmission;
