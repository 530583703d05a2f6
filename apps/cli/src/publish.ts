import newId from '@cyclamengate/common/newId';
import newPeer from '@cyclamengate/coordination/newPeer';
import { publicationSchema } from '@cyclamengate/settings/publication';
import readYamlFile from '@cyclamengate/settings/readYamlFile';
import { NO_REVISION } from '@cyclamengate/settings/settingsTree';
import { EXIT_FAILED, EXIT_MISUSED, EXIT_OK, newFailure } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';
import newLogSession from './newLogSession.js';
import type { LogSession } from './newLogSession.js';

const DECISION_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;

export interface PublishOptions {
  file: string;
  operator: string;
  log: string;
  peer?: string | undefined;
  /** How long to wait until the change is in force on every live host, in seconds. */
  wait: number;
  /** The revision that a subtree must still have, by path; defaults to its newest revision. */
  basedOn: ReadonlyMap<string, number>;
}

/** The hosts on which a change is not in force yet, and those that are presumed dead or partitioned. */
interface InForceReport {
  isComplete: boolean;
  behind: string[];
  silent: string[];
}

/** Polls every live host directly until each one has reached the offset, or until the deadline. */
const waitUntilInForce = async (
  { clock }: LogSession,
  peerUrl: string,
  offset: number,
  deadline: number,
): Promise<InForceReport> => {
  const members = await newPeer(peerUrl).members();
  if (!members.ok) return { isComplete: false, behind: [peerUrl], silent: [] };
  const silent = members.val.silent.map(({ id }) => id).sort();
  let behind = members.val.live;
  while (behind.length > 0 && clock.now() < deadline) {
    const answers = await Promise.all(
      behind.map(async (member) => ({ member, reached: await newPeer(member.peerUrl).offset() })),
    );
    behind = answers
      .filter(({ reached }) => !reached.ok || reached.val < offset)
      .map(({ member }) => member);
    if (behind.length > 0) await clock.sleepUntil(clock.now() + POLL_INTERVAL_MS);
  }
  return { isComplete: behind.length === 0, behind: behind.map(({ id }) => id).sort(), silent };
};

const formatOutcome = (offset: number, tookMs: number, inForce: InForceReport | null): string => {
  if (!inForce) return `accepted at offset ${offset}`;
  const silent =
    inForce.silent.length > 0
      ? `; not heard of (dead or cut off): ${inForce.silent.join(', ')}`
      : '';
  return inForce.isComplete
    ? `accepted at offset ${offset}, in force on every live host after ${Math.round(tookMs)} ms${silent}`
    : `accepted at offset ${offset}, not yet in force on: ${inForce.behind.join(', ')}${silent}`;
};

const publishAndWait = async (
  session: LogSession,
  options: PublishOptions,
  subtrees: Record<string, unknown>,
): Promise<CommandOutcome> => {
  const { clock, follower, writer } = session;
  const settingsTree = follower.state().settings;
  const startedAt = clock.now();
  const id = newId('change');
  let offset = -1;
  follower.onFolded((folded) => {
    if (folded.id === id && offset < 0) offset = folded.offset;
  });
  const decision = await writer.write(
    {
      type: 'settings-change',
      operator: options.operator,
      subtrees: Object.entries(subtrees).map(([path, subtree]) => ({
        path,
        basedOn: options.basedOn.get(path) ?? settingsTree[path]?.revision ?? NO_REVISION,
        subtree,
      })),
    },
    clock.now() + DECISION_TIMEOUT_MS,
    id,
  );
  if (!decision.ok) {
    return newFailure(
      decision.val === 'not-written'
        ? 'nothing was published: the log did not take it'
        : 'unknown whether it was published: see `cyclamengate audit`, or publish again',
    );
  }
  if (!decision.val.accepted) return newFailure(`rejected: ${decision.val.reason}`);
  const inForce = options.peer
    ? await waitUntilInForce(session, options.peer, offset, clock.now() + options.wait * 1_000)
    : null;
  const tookMs = clock.now() - startedAt;
  return {
    status: inForce && !inForce.isComplete ? EXIT_FAILED : EXIT_OK,
    text: formatOutcome(offset, tookMs, inForce),
    json: { accepted: true, offset, tookMs, inForce },
  };
};

/** Publishes all subtrees of a file atomically and waits until they are in force. */
const publish = async (options: PublishOptions): Promise<CommandOutcome> => {
  const publication = await readYamlFile(options.file, publicationSchema);
  if (!publication.ok) return newFailure(publication.val, EXIT_MISUSED);
  const session = newLogSession(options.log);
  const caughtUp = await session.catchUp();
  if (!caughtUp.ok) return newFailure(caughtUp.val);
  session.start();
  const outcome = await publishAndWait(session, options, publication.val.subtrees);
  await session.stop();
  return outcome;
};

export default publish;
