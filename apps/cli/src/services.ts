import { restore } from '@cyclamengate/common/restore';
import { serviceReportSchema } from '@cyclamengate/gateway/serviceReport';
import type { AdmissionReport, ServiceReport } from '@cyclamengate/gateway/serviceReport';
import { request } from 'undici';
import { z } from 'zod';
import { EXIT_OK, newFailure } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';

const TIMEOUT_MS = 3_000;
const NAME_WIDTH = 24;

const formatAdmission = ({
  places,
  free,
  reportAgeMs,
  classes,
  running,
  waiting,
}: AdmissionReport): string[] => [
  `  places ${places}, free ${free}, newest load report ${reportAgeMs === null ? 'none' : `${Math.round(reportAgeMs)} ms old`}`,
  ...classes
    .filter((each) => each.running > 0 || each.waiting > 0)
    .map(
      (each) =>
        `  class ${each.workClass.padEnd(NAME_WIDTH)} running ${each.running}, waiting ${each.waiting}, expected wait ${each.expectedWaitMs} ms`,
    ),
  ...running.map(
    ({ customer, count, share }) =>
      `  customer ${customer.padEnd(NAME_WIDTH)} running ${count}, share ${share}`,
  ),
  ...waiting.map(
    ({ customer, priority, count }) =>
      `  customer ${customer.padEnd(NAME_WIDTH)} waiting ${count} (${priority})`,
  ),
];

const formatService = ({ service, upstreams, admission }: ServiceReport): string[] => [
  service,
  ...(admission ? formatAdmission(admission) : []),
  ...upstreams.map(
    ({ id, failureDomain, slots, load, pace, isBackedOff }) =>
      `  upstream ${id.padEnd(NAME_WIDTH)} ${failureDomain.padEnd(NAME_WIDTH)} ${load} of ${slots} slots, pace ${pace.toFixed(2)}${isBackedOff ? ', in back-off' : ''}`,
  ),
];

const describeProblem = (error: unknown): string =>
  (error as { code?: string }).code ?? (error as Error).message;

const fetchReports = async (address: string): Promise<unknown> => {
  const { statusCode, body } = await request(`http://${address}/services`, {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  if (statusCode === 200) return body.json();
  await body.dump();
  throw new Error(`status ${statusCode}`);
};

/**
 * Shows what a host knows of each service: its upstreams with their pace, who runs and waits there,
 * and the expected wait.
 * @param address metrics address of the host
 */
const services = async (address: string): Promise<CommandOutcome> => {
  try {
    const reports = restore(z.array(serviceReportSchema), await fetchReports(address));
    if (!reports.ok) return newFailure(`${address} answers with something else than reports`);
    const text = reports.val.flatMap(formatService).join('\n');
    return { status: EXIT_OK, text: text || 'no services', json: reports.val };
  } catch (error) {
    return newFailure(`${address}: ${describeProblem(error)}`);
  }
};

export default services;
