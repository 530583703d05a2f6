import newPeer from '@cyclamengate/coordination/newPeer';
import type { Member } from '@cyclamengate/coordination/member';
import { EXIT_OK, newFailure } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';
import newLogSession from './newLogSession.js';

const formatState = (member: Member, isSilent: boolean): string => {
  if (isSilent) return 'silent';
  return member.isLeaving ? 'leaving' : 'live';
};

const formatLine = (member: Member, isSilent: boolean): string =>
  [
    member.id.padEnd(24),
    member.role.padEnd(8),
    member.failureDomain.padEnd(14),
    `offset ${member.offset}`.padEnd(14),
    formatState(member, isSilent),
  ].join(' ');

const compareIds = (left: Member, right: Member): number => (left.id < right.id ? -1 : 1);

/** Shows the members that a peer knows, and the settings and leases in the log. */
const status = async (logUrl: string, peerUrl: string | undefined): Promise<CommandOutcome> => {
  const session = newLogSession(logUrl);
  const caughtUp = await session.catchUp();
  const members = peerUrl ? await newPeer(peerUrl).members() : null;
  if (!caughtUp.ok && !members?.ok) return newFailure(caughtUp.val);
  const state = session.follower.state();
  const leases = Object.entries(state.leases).map(
    ([name, lease]) => `${name.padEnd(24)} ${lease.holder || '(free)'} fence ${lease.fence}`,
  );
  const live = members?.ok ? members.val.live.sort(compareIds) : [];
  const silent = members?.ok ? members.val.silent.sort(compareIds) : [];
  const text = [
    caughtUp.ok ? `log: offset ${state.offset}` : `log: ${caughtUp.val}`,
    `subtrees: ${
      Object.entries(state.settings)
        .map(([path, { revision }]) => `${path} (revision ${revision})`)
        .join(', ') || 'none'
    }`,
    `evacuated: ${state.evacuatedDomains.join(', ') || 'none'}`,
    'members:',
    ...live.map((member) => `  ${formatLine(member, false)}`),
    ...silent.map((member) => `  ${formatLine(member, true)}`),
    'leases:',
    ...leases.map((line) => `  ${line}`),
  ].join('\n');
  const { offset, settings, evacuatedDomains, leases: leaseStates } = state;
  const json = { offset, settings, evacuatedDomains, leases: leaseStates, live, silent };
  return { status: EXIT_OK, text, json };
};

export default status;
