import DelegatingUpstreamClient from './DelegatingUpstreamClient.js';
import type { ColdLimits } from './newColdLimits.js';
import type UpstreamClient from './UpstreamClient.js';
import type { UpstreamOutcome, UpstreamRequest } from './UpstreamClient.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/**
 * Keeps a request from a cold upstream whose limit is reached, whatever sends it: callers' requests,
 * streams, items and scoring calls. Candidates leave such upstreams out; this catches a request
 * whose upstream turned out to be cold in the meantime.
 */
const newColdGuard = (client: UpstreamClient, limits: ColdLimits): UpstreamClient => {
  class ColdGuardedClient extends DelegatingUpstreamClient {
    override async send(
      entry: UpstreamEntry,
      request: UpstreamRequest,
      firstByteDeadline: number,
      signal: AbortSignal,
    ): Promise<UpstreamOutcome> {
      if (!limits.start(entry)) {
        const reason = 'cold upstream at its limit';
        return {
          type: 'fault',
          fault: { type: 'not-run', reason, isUnreachable: false, load: null },
        };
      }
      return super.send(entry, request, firstByteDeadline, signal);
    }
  }
  return new ColdGuardedClient(client);
};

export default newColdGuard;
