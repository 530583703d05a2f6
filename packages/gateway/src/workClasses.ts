import type { ClassShares } from '@cyclamengate/routing/classShares';

/** Work that yields its places to callers: scoring calls of batches. */
export const BACKGROUND = 'background';

/**
 * Classes of plain requests, with their shares while requests of each wait. Even the last one gets a
 * quarter of the mean.
 */
export const WORK_CLASS_SHARES = {
  urgent: 16,
  usual: 8,
  later: 4,
  [BACKGROUND]: 2,
} as const satisfies ClassShares;

export type WorkClass = keyof typeof WORK_CLASS_SHARES;

/** The class of a caller's request: its customer's priority goes before its route's; 0 is the highest. */
export const findCallerClass = (
  customerPriority: number | null,
  routePriority: number,
): WorkClass => {
  const priority = customerPriority ?? routePriority;
  if (priority <= 0) return 'urgent';
  return priority === 1 ? 'usual' : 'later';
};
