import { notRun } from '@cyclamengate/gateway/refusal';

/** Refuses what a stopping host can't finish; the caller's next connection leads to another host. */
const leavingRefusal = notRun('leaving', 0);

export default leavingRefusal;
