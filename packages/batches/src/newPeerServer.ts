import { createServer } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { newPeerRouter } from './peerRouter.js';
import type { PeerService } from './peerRouter.js';

/** The server through which other hosts reach this one. */
const newPeerServer = (service: PeerService) =>
  createServer(createHTTPHandler({ router: newPeerRouter(service), basePath: '/trpc/' }));

export default newPeerServer;
