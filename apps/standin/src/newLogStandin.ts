import type { LogPage, LogRecord } from '@cyclamengate/platform/logRecord';
import type { Polka } from 'polka';
import { z } from 'zod';
import type { FaultSwitches } from './faultSwitches.js';
import { readJson, withFaults } from './withFaults.js';

const PAGE_RECORDS = 512;
const MAX_WAIT_MS = 5_000;

const appendSchema = z.object({ bodies: z.array(z.string()).min(1).max(4_096) });

/** The platform's log: totally ordered records with offsets, limited retention and long-polling reads. */
const newLogStandin = (faults: FaultSwitches, recordsKept: number) => {
  let records: LogRecord[] = [];
  let end = 0;
  let appends = 0;
  let reads = 0;
  const waitingReads = new Set<() => void>();

  const append = (bodies: string[]): number => {
    const offset = end;
    const at = Date.now();
    appends += 1;
    bodies.forEach((body) => {
      records.push({ offset: end, at, body });
      end += 1;
    });
    if (records.length > recordsKept * 1.25) records = records.slice(-recordsKept);
    [...waitingReads].forEach((resume) => resume());
    return offset;
  };

  const waitForRecords = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const finish = (): void => {
        waitingReads.delete(finish);
        resolve();
      };
      waitingReads.add(finish);
      setTimeout(finish, waitMs);
    });

  const read = async (from: number, waitMs: number): Promise<LogPage> => {
    reads += 1;
    if (from >= end && waitMs > 0) await waitForRecords(waitMs);
    const first = records[0]?.offset ?? end;
    const start = Math.max(0, from - first);
    return { records: records.slice(start, start + PAGE_RECORDS), end, first };
  };

  const mount = (app: Polka): void => {
    app.post(
      '/log/append',
      withFaults(faults, 'log', async (request, response) => {
        const wanted = await readJson(request, response, appendSchema);
        return wanted && { status: 200, body: { offset: append(wanted.bodies) } };
      }),
    );
    app.get(
      '/log/read',
      withFaults(faults, 'log', async (request) => {
        const { from, waitMs } = request.query as Record<string, string>;
        const wait = Math.min(MAX_WAIT_MS, Number(waitMs ?? 0));
        return { status: 200, body: await read(Number(from ?? 0), wait) };
      }),
    );
  };

  return { mount, counts: () => ({ appends, reads, end }) };
};

export default newLogStandin;
