import type { ServerResponse } from 'node:http';
import { refusalHeaders } from '@cyclamengate/adapter/callerRequest';
import { sendJson } from '@cyclamengate/common/handler';
import sendJsonAndClose from '@cyclamengate/common/sendJsonAndClose';
import type { Refusal } from '@cyclamengate/gateway/refusal';

/** Sends a refusal; on a connection that is closed then, only once its caller has sent the body. */
const sendRefusal = (
  response: ServerResponse,
  requestId: string | null,
  refusal: Refusal,
): void => {
  const isClosing = response.getHeader('connection') === 'close';
  const send = isClosing && !response.req.complete ? sendJsonAndClose : sendJson;
  send(response, refusal.status, { error: refusal.code }, refusalHeaders(requestId, refusal));
};

export default sendRefusal;
