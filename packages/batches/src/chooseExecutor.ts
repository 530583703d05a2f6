import type { PeerAnswer } from './newPeerCalls.js';

/** A host's reply to the question whether it has begun a batch. */
export interface ExecutorReply {
  host: string;
  answer: PeerAnswer<boolean>;
}

/** The host that is to run a batch, and whether it is assumed to have begun it. */
export interface ExecutorChoice {
  host: string;
  hasBegun: boolean;
}

/**
 * Chooses the host that runs a batch that the store does not have yet.
 * @param replies replies of hosts, in order of preference for the batch
 * @param reportedHost host that was reported to have begun the batch
 * @returns null if no host is available
 */
const chooseExecutor = (
  replies: ExecutorReply[],
  reportedHost: string | null,
): ExecutorChoice | null => {
  const findReply = (hasBegun: boolean): ExecutorReply | undefined =>
    replies.find(({ answer }) => answer.type === 'answer' && answer.value === hasBegun);
  const executor = findReply(true);
  if (executor) return { host: executor.host, hasBegun: true };
  // A late host keeps a batch that it was told to begin; a restarted one is told again.
  const reported = replies.find(
    ({ host, answer }) => host === reportedHost && answer.type !== 'gone',
  );
  if (reported) return { host: reported.host, hasBegun: reported.answer.type === 'late' };
  const available = findReply(false);
  return available ? { host: available.host, hasBegun: false } : null;
};

export default chooseExecutor;
