import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { Agent, Client } from 'undici';
import type { Dispatcher } from 'undici';
import { toUpstreamFault } from './newHttpModelEngine.js';
import PlainService from './PlainService.js';
import type { ServiceAnswer, ServiceCall } from './serviceCall.js';
import type { UpstreamFault } from './upstreamFault.js';

const CONNECT_TIMEOUT_MS = 500;
const ANSWER_TIMEOUT_MS = 10_000;
/** Status with which an upstream answers a call that it has not run. */
const NOT_RUN_STATUS = 503;

const CONNECTION_OPTIONS = {
  connect: { timeout: CONNECT_TIMEOUT_MS },
  headersTimeout: ANSWER_TIMEOUT_MS,
  bodyTimeout: ANSWER_TIMEOUT_MS,
  pipelining: 1,
};

const requestOptions = (
  { requestId, customer, method, path, contentType, body }: ServiceCall,
  signal: AbortSignal,
): Dispatcher.RequestOptions => ({
  method,
  path,
  signal,
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
  const agent = new Agent(CONNECTION_OPTIONS);

  const send = async (
    url: string,
    dispatcher: Dispatcher,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, UpstreamFault>> => {
    try {
      const answer = await dispatcher.request({ origin: url, ...requestOptions(call, signal) });
      const serviceAnswer = await readAnswer(answer);
      return serviceAnswer.status === NOT_RUN_STATUS ? Err('refused') : Ok(serviceAnswer);
    } catch (error) {
      return Err(toUpstreamFault(error, signal));
    }
  };

  class HttpPlainService extends PlainService {
    async call(
      url: string,
      call: ServiceCall,
      needsFreshConnection: boolean,
      signal: AbortSignal,
    ): Promise<Result<ServiceAnswer, UpstreamFault>> {
      if (!needsFreshConnection) return send(url, agent, call, signal);
      const client = new Client(url, CONNECTION_OPTIONS);
      const answer = await send(url, client, call, signal);
      await client.destroy();
      return answer;
    }
  }
  return new HttpPlainService();
};

export default newHttpPlainService;
