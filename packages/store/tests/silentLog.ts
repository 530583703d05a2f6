import type { EventLog } from '@cyclamengate/common/newEventLog';

/** A log that nobody reads. */
export const silentLog: EventLog = { info: () => {}, warn: () => {}, error: () => {} };
