import type { Trials } from './newSuspectGate.js';

/** Trials of a host that knows no others: it grants itself each one. */
const soleTrials: Trials = { claim: async () => null, cancel: () => {} };

export default soleTrials;
