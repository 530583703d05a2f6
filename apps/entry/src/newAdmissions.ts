import type { Daemon } from '@cyclamengate/coordination/newDaemon';
import newAdmission from '@cyclamengate/routing/newAdmission';
import type { Admission } from '@cyclamengate/routing/newAdmission';
import type { UpstreamDirectory } from '@cyclamengate/upstreams/newUpstreamDirectory';
import type { OpenRequests } from './newOpenRequests.js';

const REFRESH_MS = 250;

/** One admission for each service, kept in step with upstreams and the other entries. */
const newAdmissions = (
  { clock, runtime, settings }: Daemon,
  directory: UpstreamDirectory,
  openRequests: OpenRequests,
) => {
  const admissions = new Map<string, Admission>();

  const otherEntries = () =>
    runtime.membership.others().filter(({ role, isLeaving }) => role === 'entry' && !isLeaving);

  const refreshOne = (admission: Admission, service: string): void => {
    const usable = directory.usable(service);
    admission.setSlots(usable.reduce((sum, { slots }) => sum + slots, 0));
    runtime.self.demand[service] = admission.demand();
  };

  const of = (service: string): Admission => {
    const known = admissions.get(service);
    if (known) return known;
    const created = newAdmission({
      clock,
      service,
      policy: settings.policy.queue,
      reservedPart: settings.policy.reservedPart,
      readSettings: runtime.effective,
      otherEntries,
      inFlightOf: openRequests.runningOf,
    });
    refreshOne(created, service);
    admissions.set(service, created);
    return created;
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      admissions.forEach(refreshOne);
      runtime.self.inFlight = openRequests.runningByCustomer();
      await clock.sleepUntil(clock.now() + REFRESH_MS, signal);
    }
  };

  return { of, run };
};

export type Admissions = ReturnType<typeof newAdmissions>;

export default newAdmissions;
