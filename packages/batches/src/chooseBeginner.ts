import type { PeerAnswer } from './newPeerCalls.js';

/** What a host said when it was asked whether it has begun a batch. */
export interface BeginnerAnswer {
  host: string;
  answer: PeerAnswer<boolean>;
}

/** The host that is to run a batch, and whether it is taken to have begun it. */
export interface BeginnerChoice {
  host: string;
  hasBegun: boolean;
}

/**
 * Which host begins a batch before the store has it.
 * @param asked hosts in the order in which they come for the batch
 * @param heard the host that others said has begun it
 * @returns null where no host can
 */
const chooseBeginner = (asked: BeginnerAnswer[], heard: string | null): BeginnerChoice | null => {
  const says = (has: boolean): BeginnerAnswer | undefined =>
    asked.find(({ answer }) => answer.type === 'answer' && answer.value === has);
  const begun = says(true);
  if (begun) return { host: begun.host, hasBegun: true };
  // A late one keeps what it was told; one that is there again after a restart is told once more.
  const told = asked.find(({ host, answer }) => host === heard && answer.type !== 'gone');
  if (told) return { host: told.host, hasBegun: told.answer.type === 'late' };
  const first = says(false);
  return first ? { host: first.host, hasBegun: false } : null;
};

export default chooseBeginner;
