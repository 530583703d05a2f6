import { createServer } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { MemoryBudget } from '@cyclamengate/common/newMemoryBudget';
import { announcedBytes } from '@cyclamengate/common/readBody';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { newPeerRouter } from './peerRouter.js';
import type { PeerService } from './peerRouter.js';

/** A small batch with the texts of its items. */
const MAX_CALL_BYTES = 6_000_000;
/** A call as text, as parsed values, and as what is made of these. */
const COPIES_OF_CALL = 4;

/** Creates the server for calls from other hosts. */
const newPeerServer = (service: PeerService, memory: MemoryBudget) => {
  const handle = createHTTPHandler({
    router: newPeerRouter(service),
    basePath: '/trpc/',
    maxBodySize: MAX_CALL_BYTES,
    // No host makes several calls in one, and each may read the store.
    allowBatching: false,
  });

  /** Nearly all calls announce their size and are small. */
  const countBytes = (request: IncomingMessage): number => {
    if (request.method === 'GET') return 0;
    return Math.min(MAX_CALL_BYTES, announcedBytes(request) ?? MAX_CALL_BYTES);
  };

  return createServer((request, response) => {
    const lease = memory.reserve('peers', COPIES_OF_CALL * countBytes(request));
    if (!lease) {
      response.writeHead(503, { 'content-length': '0' });
      response.end();
      request.resume();
      return;
    }
    response.once('close', lease.release);
    handle(request, response);
  });
};

export default newPeerServer;
