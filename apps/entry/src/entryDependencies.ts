import type { Daemon } from '@cyclamengate/coordination/newDaemon';
import type { CallClaims } from '@cyclamengate/routing/newCallClaims';
import type { GenerationRelay } from '@cyclamengate/routing/newGenerationRelay';
import type { ServiceRelay } from '@cyclamengate/routing/newServiceRelay';
import type { Meter } from '@cyclamengate/usage/newMeter';
import type { Admissions } from './newAdmissions.js';
import type { Gate } from './newGate.js';
import type { OpenRequests } from './newOpenRequests.js';

/** Dependencies shared by the request handlers of an entry. */
export interface EntryDependencies {
  daemon: Daemon;
  gate: Gate;
  admissions: Admissions;
  openRequests: OpenRequests;
  relayGeneration: GenerationRelay;
  relayService: ServiceRelay;
  claimCall: CallClaims;
  meter: Meter;
}
