import type { Daemon } from '@cyclamengate/coordination/newDaemon';
import type { CallClaims } from '@cyclamengate/routing/newCallClaims';
import type { GenerationRelay } from '@cyclamengate/routing/newGenerationRelay';
import type { ServiceRelay } from '@cyclamengate/routing/newServiceRelay';
import type { Meter } from '@cyclamengate/usage/newMeter';
import type { Admissions } from './newAdmissions.js';
import type { Gate } from './newGate.js';
import type { OpenRequests } from './newOpenRequests.js';

/** What the handlers of an entry work with. */
export interface EntryParts {
  daemon: Daemon;
  gate: Gate;
  admissions: Admissions;
  openRequests: OpenRequests;
  relayGeneration: GenerationRelay;
  relayService: ServiceRelay;
  claims: CallClaims;
  meter: Meter;
}
