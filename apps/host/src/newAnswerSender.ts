import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type Clock from '@cyclamengate/common/Clock';
import newDeadlineSignal from '@cyclamengate/common/newDeadlineSignal';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import type { HeldAnswer } from '@cyclamengate/gateway/newPlainAttempt';

export interface AnswerSenderOptions {
  clock: Clock;
  log: EventLog;
}

/** Sends the answers of upstreams to callers. */
const newAnswerSender = ({ clock, log }: AnswerSenderOptions) => {
  /** Passes on what follows of an answer, no faster than its caller reads. */
  const sendRest = async (
    response: ServerResponse,
    rest: AsyncIterable<Buffer>,
    deadline: number,
    controller: AbortController,
  ): Promise<void> => {
    const { signal } = controller;
    const timeout = newDeadlineSignal(clock, deadline);
    timeout.signal.addEventListener('abort', () => controller.abort('deadline'));
    try {
      for await (const chunk of rest) {
        if (!response.write(chunk)) await once(response, 'drain', { signal });
      }
      response.end();
    } catch (error) {
      // Without an end, the caller can't take what it has for the whole answer.
      response.destroy();
      if (!(error instanceof TruncatedAnswer) && !signal.aborted) throw error;
      log.warn('request.answer-cut', { error: (error as Error).message });
    } finally {
      timeout.end();
    }
  };

  /** @param controller aborts the request at its upstream, also at the deadline */
  return async (
    response: ServerResponse,
    { status, headers, body, rest }: HeldAnswer,
    deadline: number,
    controller: AbortController,
  ): Promise<void> => {
    if (rest !== null) {
      response.writeHead(status, headers);
      response.write(body);
      await sendRest(response, rest, deadline, controller);
      return;
    }
    response.writeHead(status, { ...headers, 'content-length': String(body.length) });
    response.end(body);
  };
};

export default newAnswerSender;
