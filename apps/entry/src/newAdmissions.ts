import type { Daemon } from '@cyclamengate/coordination/newDaemon';
import newAdmission from '@cyclamengate/routing/newAdmission';
import type { Admission } from '@cyclamengate/routing/newAdmission';
import type { UpstreamDirectory } from '@cyclamengate/upstreams/newUpstreamDirectory';
import type { OpenRequests } from './newOpenRequests.js';

const REFRESH_INTERVAL_MS = 250;

/** Creates one admission queue per service and regularly updates its slots and published demand. */
const newAdmissions = (
  { clock, runtime, settings }: Daemon,
  directory: UpstreamDirectory,
  openRequests: OpenRequests,
) => {
  const admissions = new Map<string, Admission>();

  const otherEntries = () =>
    runtime.membership.others().filter(({ role, isLeaving }) => role === 'entry' && !isLeaving);

  const refreshAdmission = (admission: Admission, service: string): void => {
    const usableUpstreams = directory.usable(service);
    admission.setSlots(usableUpstreams.reduce((sum, { slots }) => sum + slots, 0));
    runtime.self.demand[service] = admission.demand();
  };

  const forService = (service: string): Admission => {
    const existing = admissions.get(service);
    if (existing) return existing;
    const created = newAdmission({
      clock,
      service,
      policy: settings.policy.queue,
      reservedPart: settings.policy.reservedPart,
      readSettings: runtime.effective,
      otherEntries,
      countInFlight: openRequests.runningCount,
    });
    refreshAdmission(created, service);
    admissions.set(service, created);
    return created;
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      admissions.forEach(refreshAdmission);
      runtime.self.inFlight = openRequests.runningCounts();
      await clock.sleepUntil(clock.now() + REFRESH_INTERVAL_MS, signal);
    }
  };

  return { forService, run };
};

export type Admissions = ReturnType<typeof newAdmissions>;

export default newAdmissions;
