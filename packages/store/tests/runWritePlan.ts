import type Clock from '@cyclamengate/common/Clock';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newStoreWriter from '../src/newStoreWriter.js';
import type { WriteResult } from '../src/newStoreWriter.js';
import { FaultyStore, newPartition } from './FaultyStore.js';
import type { Fault, Partition } from './FaultyStore.js';
import silentLog from './silentLog.js';

export interface PlannedWrite {
  host: number;
  afterMs: number;
  records: number;
  timeoutMs: number;
}

export interface Plan {
  /** By host: the faults of its appends, in order; later appends have none. */
  faults: Fault[][];
  writes: PlannedWrite[];
}

const TOPIC = 'work';
export const HOSTS = 3;
/** Longer than all faults of a plan together, and than the delay of the last late append. */
const FINAL_WAIT_MS = 60_000;

const hasBodiesAt = (log: string[], offset: number, bodies: string[]): boolean =>
  bodies.every((body, index) => log[offset + index] === body);

/** How the result of a write contradicts the log; null if they agree. */
const findContradiction = (log: string[], bodies: string[], result: WriteResult): string | null => {
  const { outcome, offset } = result;
  if (outcome === 'unknown') return null;
  const appendedCount = bodies.filter((body) => log.includes(body)).length;
  if (outcome === 'not-written')
    return appendedCount === 0 ? null : 'not-written, but it is in the log';
  if (offset === null)
    return appendedCount === bodies.length ? null : 'written, but it is not in the log';
  if (hasBodiesAt(log, offset, bodies)) return null;
  return `not at its offset ${offset}, where [${log.slice(offset, offset + bodies.length).join(' ')}]`;
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

/** Runs a plan and checks each write when it settles and after the last late append. */
export const runWritePlan = async (plan: Plan) => {
  const clock = newManualClock();
  const partition = newPartition();
  const trace: string[] = [];
  const hosts = newHosts(clock, partition, plan, trace);
  const violations: string[] = [];
  const settled = new Map<string, { bodies: string[]; result: WriteResult }>();
  const check = (name: string, when: string): void => {
    const { bodies, result } = settled.get(name) ?? { bodies: [], result: null };
    const contradiction = result
      ? findContradiction(partition.log, bodies, result)
      : 'never settled';
    if (contradiction !== null) violations.push(`${name} ${when}: ${contradiction}`);
  };
  const startWrite = ({ host, records, timeoutMs }: PlannedWrite, name: string): void => {
    const bodies = Array.from({ length: records }, (_, index) => `${name}.${index}`);
    const deadline = clock.now() + timeoutMs;
    trace.push(`${clock.now()} host-${host} writes [${bodies.join(' ')}], deadline ${deadline}`);
    const buffers = bodies.map((body) => Buffer.from(body));
    hosts[host]?.writeWithOffset(buffers, deadline).then((result) => {
      trace.push(`${clock.now()} ${name} settles as ${JSON.stringify(result)}`);
      settled.set(name, { bodies, result });
      check(name, 'when settled');
    });
  };
  const names = plan.writes.map((_, index) => `w${index}`);
  for (const [index, write] of plan.writes.entries()) {
    if (write.afterMs > 0) await clock.advance(write.afterMs);
    startWrite(write, `w${index}`);
  }
  await clock.advance(FINAL_WAIT_MS);
  names.forEach((name) => check(name, 'at the end'));
  const copies = partition.log.map(
    (body) => partition.log.filter((other) => other === body).length,
  );
  const outcomes = [...settled.values()].map(({ result: { outcome, offset } }) =>
    outcome === 'written' && offset === null ? 'written, no offset' : outcome,
  );
  return { violations, trace, copies: Math.max(0, ...copies), outcomes };
};
