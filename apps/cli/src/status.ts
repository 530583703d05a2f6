import newPeer from '@cyclamengate/coordination/newPeer';
import type { Member } from '@cyclamengate/coordination/member';
import { EXIT_OK, failed } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';
import newLogSession from './newLogSession.js';

const conditionOf = (member: Member, isSilent: boolean): string => {
  if (isSilent) return 'silent';
  return member.isLeaving ? 'leaving' : 'live';
};

const lineOf = (member: Member, isSilent: boolean): string =>
  [
    member.id.padEnd(24),
    member.role.padEnd(8),
    member.failureDomain.padEnd(14),
    `offset ${member.offset}`.padEnd(14),
    conditionOf(member, isSilent),
  ].join(' ');

const byId = (left: Member, right: Member): number => (left.id < right.id ? -1 : 1);

/** What a peer knows of the members, and what the log holds. */
const status = async (logUrl: string, peerUrl: string | undefined): Promise<CommandOutcome> => {
  const session = newLogSession(logUrl);
  const caughtUp = await session.catchUp();
  const seen = peerUrl ? await newPeer(peerUrl).members() : null;
  if (!caughtUp.ok && !seen?.ok) return failed(caughtUp.val);
  const state = session.follower.state();
  const leases = Object.entries(state.leases).map(
    ([name, lease]) => `${name.padEnd(24)} ${lease.holder || '(free)'} fence ${lease.fence}`,
  );
  const live = seen?.ok ? seen.val.live.sort(byId) : [];
  const silent = seen?.ok ? seen.val.silent.sort(byId) : [];
  const text = [
    caughtUp.ok ? `log: offset ${state.offset}` : `log: ${caughtUp.val}`,
    `subtrees: ${
      Object.entries(state.settings)
        .map(([path, { revision }]) => `${path} (revision ${revision})`)
        .join(', ') || 'none'
    }`,
    'members:',
    ...live.map((member) => `  ${lineOf(member, false)}`),
    ...silent.map((member) => `  ${lineOf(member, true)}`),
    'leases:',
    ...leases.map((line) => `  ${line}`),
  ].join('\n');
  const { offset, settings, leases: leaseStates } = state;
  return { status: EXIT_OK, text, json: { offset, settings, leases: leaseStates, live, silent } };
};

export default status;
