import { createServer } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { newPeerRouter } from './peerRouter.js';
import type { PeerService } from './peerRouter.js';

/** Creates the server for calls from other hosts. */
const newPeerServer = (service: PeerService) =>
  createServer(createHTTPHandler({ router: newPeerRouter(service), basePath: '/trpc/' }));

export default newPeerServer;
