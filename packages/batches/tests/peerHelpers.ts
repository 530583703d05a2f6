import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import newSystemClock from '@cyclamengate/common/newSystemClock';
import type { Handover } from '../src/batchRecord.js';
import newPeers from '../src/newPeers.js';
import type { Peer } from '../src/newPeers.js';
import newPeerServer from '../src/newPeerServer.js';
import type { Beginner } from '../src/peerRouter.js';
import { newBatch, newItem, silentLog } from './helpers.js';

const clock = newSystemClock();

/** Another host: whether it takes work and reads the store, and what it was handed. */
export const newPeer = async (host: string, isWilling: boolean, answerMs = 0) => {
  const taken: Handover[] = [];
  const begun = new Set<string>();
  const announced: string[] = [];
  const heard: string[] = [];
  const server = newPeerServer({
    keep: async () => 'written',
    begin: ({ id }) => {
      if (isWilling) begun.add(id);
      return isWilling ? 'begun' : 'leaving';
    },
    hasBegun: (id) => begun.has(id),
    noteBegun: ({ batch, host: beginner }) => {
      heard.push(`${batch} at ${beginner}`);
    },
    announce: async ({ host: leaving }) => {
      announced.push(leaving);
      return isWilling;
    },
    takeOver: async (handover) => {
      if (isWilling) taken.push(handover);
      return isWilling;
    },
    touch: async () => (isWilling ? 'steady' : 'none'),
  });
  const [answer] = server.listeners('request') as ((...args: unknown[]) => void)[];
  server.removeAllListeners('request');
  server.on('request', (...args) => setTimeout(() => answer?.(...args), answerMs));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const peer = { host, failureDomain: 'detroit', address: `127.0.0.1:${port}`, cores: 1 };
  return { peer, taken, begun, announced, heard, server };
};

export const newCaller = (peers: Peer[], heard: Beginner | null = null) =>
  newPeers({
    clock,
    log: silentLog,
    failureDomain: 'detroit',
    readPeers: () => peers,
    self: { host: 'a', cores: 1, address: '127.0.0.1:1' },
    // The caller itself comes last.
    rank: (_batch, hosts) =>
      hosts
        .map(({ host }) => host)
        .sort()
        .reverse(),
    beginHere: () => 'leaving',
    hasBegunHere: () => false,
    noteBegunHere: () => {},
    heardBeginner: () => heard,
  });

export const handover: Handover = {
  batch: newBatch('b', [newItem('1')]),
  texts: [],
  from: 'a-run',
  isSenderCut: false,
};
