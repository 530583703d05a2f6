import { usageReportSchema } from '@cyclamengate/platform/usageReport';
import type { UsageReport } from '@cyclamengate/platform/usageReport';
import type { Polka } from 'polka';
import { faulty, readJson } from './faulty.js';
import type { FaultSwitches } from './faultSwitches.js';

/** The platform's interface for usage reports; keeps all it was sent, repetitions too. */
const newReportsStandin = (faults: FaultSwitches) => {
  const received: UsageReport[] = [];

  const mount = (app: Polka): void => {
    app.post(
      '/reports',
      faulty(faults, 'reports', async (request, response) => {
        const report = await readJson(request, response, usageReportSchema);
        if (report) received.push(report);
        return report && { status: 200, body: {} };
      }),
    );
    app.get(
      '/reports',
      faulty(faults, 'reports-read', async () => ({ status: 200, body: received })),
    );
  };

  return { mount, received: () => received };
};

export default newReportsStandin;
