import type { EventLog } from '@cyclamengate/common/newEventLog';

/** An event log that discards all events. */
const silentLog: EventLog = { info: () => {}, warn: () => {}, error: () => {} };

export default silentLog;
