import type Clock from '@cyclamengate/common/Clock';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newStoreWriter from '../src/newStoreWriter.js';
import type { Placed } from '../src/newStoreWriter.js';
import { FaultyStore, newPartition } from './FaultyStore.js';
import type { Fault, Partition } from './FaultyStore.js';
import silentLog from './silentLog.js';

export interface PlannedWrite {
  host: number;
  afterMs: number;
  records: number;
  patienceMs: number;
}

export interface Plan {
  /** By host: what befalls its appends, in order; those after the last one are served. */
  faults: Fault[][];
  writes: PlannedWrite[];
}

const TOPIC = 'work';
export const HOSTS = 3;
/** Longer than all faults of a plan together, and than the last late append. */
const AFTERMATH_MS = 60_000;

const isAt = (log: string[], offset: number, bodies: string[]): boolean =>
  bodies.every((body, index) => log[offset + index] === body);

/** What a write was told and the log contradicts; null where they agree. */
const contradiction = (log: string[], bodies: string[], placed: Placed): string | null => {
  const { outcome, offset } = placed;
  if (outcome === 'unknown') return null;
  const standing = bodies.filter((body) => log.includes(body)).length;
  if (outcome === 'not-written') return standing === 0 ? null : 'not-written, but it stands';
  if (offset === null) return standing === bodies.length ? null : 'written, but it does not stand';
  if (isAt(log, offset, bodies)) return null;
  return `not at its place ${offset}, where [${log.slice(offset, offset + bodies.length).join(' ')}]`;
};

const newHosts = (clock: Clock, partition: Partition, plan: Plan, trace: string[]) =>
  Array.from({ length: HOSTS }, (_, host) =>
    newStoreWriter({
      clock,
      log: silentLog,
      store: new FaultyStore(clock, partition, [...(plan.faults[host] ?? [])], trace),
      topic: TOPIC,
      producer: `host-${host}`,
    }),
  );

/** Plays a plan to its end and checks each write when it settles and after the last late append. */
export const play = async (plan: Plan) => {
  const clock = newManualClock();
  const partition = newPartition();
  const trace: string[] = [];
  const hosts = newHosts(clock, partition, plan, trace);
  const violations: string[] = [];
  const settled = new Map<string, { bodies: string[]; placed: Placed }>();
  const check = (name: string, when: string): void => {
    const { bodies, placed } = settled.get(name) ?? { bodies: [], placed: null };
    const found = placed ? contradiction(partition.log, bodies, placed) : 'never settled';
    if (found !== null) violations.push(`${name} ${when}: ${found}`);
  };
  const begin = ({ host, records, patienceMs }: PlannedWrite, name: string): void => {
    const bodies = Array.from({ length: records }, (_, index) => `${name}.${index}`);
    const deadline = clock.now() + patienceMs;
    trace.push(`${clock.now()} host-${host} is given [${bodies.join(' ')}] until ${deadline}`);
    const buffers = bodies.map((body) => Buffer.from(body));
    hosts[host]?.place(buffers, deadline).then((placed) => {
      trace.push(`${clock.now()} ${name} is told ${JSON.stringify(placed)}`);
      settled.set(name, { bodies, placed });
      check(name, 'when told');
    });
  };
  const names = plan.writes.map((_, index) => `w${index}`);
  for (const [index, write] of plan.writes.entries()) {
    if (write.afterMs > 0) await clock.advance(write.afterMs);
    begin(write, `w${index}`);
  }
  await clock.advance(AFTERMATH_MS);
  names.forEach((name) => check(name, 'at the end'));
  const copies = partition.log.map(
    (body) => partition.log.filter((other) => other === body).length,
  );
  const outcomes = [...settled.values()].map(({ placed: { outcome, offset } }) =>
    outcome === 'written' && offset === null ? 'written, no place' : outcome,
  );
  return { violations, trace, copies: Math.max(0, ...copies), outcomes };
};
