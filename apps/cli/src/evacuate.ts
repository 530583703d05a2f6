import { EXIT_OK, newFailure } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';
import newLogSession from './newLogSession.js';

const DECISION_TIMEOUT_MS = 15_000;

export interface EvacuateOptions {
  failureDomain: string;
  /** False takes an evacuation back. */
  isEvacuated: boolean;
  operator: string;
  log: string;
}

/** Evacuates a failure domain, so that its upstreams get nothing more, or takes that back. */
const evacuate = async (options: EvacuateOptions): Promise<CommandOutcome> => {
  const { failureDomain, isEvacuated, operator, log } = options;
  const session = newLogSession(log);
  const caughtUp = await session.catchUp();
  if (!caughtUp.ok) return newFailure(caughtUp.val);
  session.start();
  const decision = await session.writer.write(
    { type: 'domain-evacuation', operator, failureDomain, isEvacuated },
    session.clock.now() + DECISION_TIMEOUT_MS,
  );
  await session.stop();
  if (!decision.ok) return newFailure('unknown whether it was written: see `cyclamengate audit`');
  if (!decision.val.accepted) return newFailure(`rejected: ${decision.val.reason}`);
  const text = `${failureDomain} is ${isEvacuated ? 'evacuated' : 'in use'}`;
  return { status: EXIT_OK, text, json: { accepted: true, failureDomain, isEvacuated } };
};

export default evacuate;
