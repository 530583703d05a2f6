import type { ServerResponse } from 'node:http';
import test from 'ava';
import { handler } from '../src/handler.js';
import type { AsyncHandler, HandlerRequest } from '../src/handler.js';

const FAILING: Record<string, AsyncHandler> = {
  'at once': () => {
    throw new Error('broken');
  },
  later: async () => {
    throw new Error('broken');
  },
};

Object.entries(FAILING).forEach(([when, handle]) => {
  test(`a handler that throws ${when} costs its own request alone`, async (t) => {
    // Guards against an exception that ends the process, since it comes before the handler's first wait.
    const errors: unknown[] = [];
    let status = 0;
    const written = new Promise<void>((resolve) => {
      const response = {
        writeHead: (sent: number) => {
          status = sent;
        },
        end: () => resolve(),
        writableEnded: true,
      };
      handler((error) => errors.push(error), handle)(
        {} as HandlerRequest,
        response as unknown as ServerResponse,
      );
    });
    await written;
    t.is(status, 500);
    t.is(errors.length, 1);
  });
});
