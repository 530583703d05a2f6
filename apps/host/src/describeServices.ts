import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { AdmissionReport, ServiceReport } from '@cyclamengate/gateway/serviceReport';

/** An admission's report, with the service that it is for. */
export interface ServiceAdmissionReport extends AdmissionReport {
  service: string;
}

const describeUpstream = ({
  entry,
  load,
  pace,
  isBackedOff,
}: Candidate): ServiceReport['upstreams'][number] => {
  const { id, failureDomain, slots } = entry;
  return { id, failureDomain, slots, load, pace, isBackedOff };
};

/** What this host knows of each service: its upstreams, and who runs and waits there. */
const describeServices = (
  services: string[],
  getCandidates: (service: string) => Candidate[],
  admissions: ServiceAdmissionReport[],
): ServiceReport[] =>
  services.map((service) => ({
    service,
    upstreams: getCandidates(service).map(describeUpstream),
    admission: admissions.find((admission) => admission.service === service) ?? null,
  }));

export default describeServices;
