import { usageReportSchema } from '@cyclamengate/platform/usageReport';
import type { UsageReport } from '@cyclamengate/platform/usageReport';
import type { Polka } from 'polka';
import { readJson, withFaults } from './withFaults.js';
import type { FaultSwitches } from './faultSwitches.js';

/** The platform's interface for usage reports; stores every report received, including duplicates. */
const newReportsStandin = (faults: FaultSwitches) => {
  const received: UsageReport[] = [];

  const mount = (app: Polka): void => {
    app.post(
      '/reports',
      withFaults(faults, 'reports', async (request, response) => {
        const report = await readJson(request, response, usageReportSchema);
        if (report) received.push(report);
        return report && { status: 200, body: {} };
      }),
    );
    app.get(
      '/reports',
      withFaults(faults, 'reports-read', async () => ({ status: 200, body: received })),
    );
  };

  return { mount, received: () => received };
};

export default newReportsStandin;
