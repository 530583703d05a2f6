import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Dispatcher } from 'undici';
import hasLength from './hasLength.js';
import newConnections from './newConnections.js';
import { toUpstreamFault } from './newHttpModelEngine.js';
import PlainService from './PlainService.js';
import type { ServiceAnswer, ServiceCall } from './serviceCall.js';
import type { UpstreamFault } from './upstreamFault.js';

const ANSWER_TIMEOUT_MS = 10_000;
const HTTP_PORT = 80;
/** Status with which an upstream answers a call that it has not run. */
const NOT_RUN_STATUS = 503;

const requestOptions = (
  { requestId, customer, method, path, contentType, body }: ServiceCall,
  signal: AbortSignal,
): Dispatcher.RequestOptions => ({
  method,
  path,
  signal,
  headersTimeout: ANSWER_TIMEOUT_MS,
  bodyTimeout: ANSWER_TIMEOUT_MS,
  headers: {
    'x-request-id': requestId,
    'x-customer': customer,
    ...(body ? { 'content-type': contentType } : {}),
  },
  body,
});

const readAnswer = async (answer: Dispatcher.ResponseData): Promise<ServiceAnswer> => ({
  status: answer.statusCode,
  contentType: String(answer.headers['content-type'] ?? 'application/octet-stream'),
  body: Buffer.from(await answer.body.arrayBuffer()),
});

/** Client of plain services over HTTP. */
const newHttpPlainService = (): PlainService => {
  const connections = newConnections();

  class HttpPlainService extends PlainService {
    async call(
      url: string,
      call: ServiceCall,
      needsFreshConnection: boolean,
      signal: AbortSignal,
    ): Promise<Result<ServiceAnswer, UpstreamFault>> {
      const { hostname, port } = new URL(url);
      const connection = connections.acquire(
        url,
        hostname,
        Number(port || HTTP_PORT),
        needsFreshConnection,
      );
      try {
        const answer = await connection.client.request(requestOptions(call, signal));
        const serviceAnswer = await readAnswer(answer);
        const isComplete = hasLength(call.method, answer) || connection.isClosedByUpstream();
        if (isComplete) connections.release(url, connection);
        else connection.discard();
        if (!isComplete) return Err('broken');
        return serviceAnswer.status === NOT_RUN_STATUS ? Err('refused') : Ok(serviceAnswer);
      } catch (error) {
        connection.discard();
        return Err(toUpstreamFault(error, signal));
      }
    }
  }
  return new HttpPlainService();
};

export default newHttpPlainService;
