import type { EventLog } from '@cyclamengate/common/newEventLog';

/** A log that nobody reads. */
const silentLog: EventLog = { info: () => {}, warn: () => {}, error: () => {} };

export default silentLog;
