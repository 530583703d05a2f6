import type { ServerResponse } from 'node:http';
import { refusalHeaders } from '@cyclamengate/adapter/callerRequest';
import sendEarlyJson from '@cyclamengate/common/sendEarlyJson';
import type { Refusal } from '@cyclamengate/gateway/refusal';

/** Sends a refusal, perhaps before its caller has sent the body. */
const sendRefusal = (response: ServerResponse, requestId: string | null, refusal: Refusal): void =>
  sendEarlyJson(
    response,
    refusal.status,
    { error: refusal.code },
    refusalHeaders(requestId, refusal),
  );

export default sendRefusal;
