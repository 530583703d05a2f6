import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import newMetrics from '@cyclamengate/common/newMetrics';
import newOddValues from '@cyclamengate/common/newOddValues';
import newSystemClock from '@cyclamengate/common/newSystemClock';
import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import type { UpstreamCrash } from '@cyclamengate/engines/upstreamCrash';
import type { ExecutionContext } from 'ava';
import type { Handover } from '../src/batchRecord.js';
import newPeers from '../src/newPeers.js';
import type { Peer } from '../src/newPeers.js';
import newPeerServer from '../src/newPeerServer.js';
import type { BatchExecutor, PeerService } from '../src/peerRouter.js';
import { newBatch, newItem, silentLog } from './helpers.js';

const clock = newSystemClock();

/**
 * Starts another host, which takes work and reads the store only if it accepts work, and records
 * its calls.
 */
export const newPeer = async (
  host: string,
  acceptsWork: boolean,
  answerMs = 0,
  memory = newTestMemory(),
) => {
  const taken: Handover[] = [];
  const begun = new Set<string>();
  const announced: string[] = [];
  const executorReports: string[] = [];
  const crashesHere: UpstreamCrash[] = [];
  const service: PeerService = {
    keep: async () => 'written',
    begin: ({ id }) => {
      if (acceptsWork) begun.add(id);
      return acceptsWork ? 'begun' : 'leaving';
    },
    hasBegun: (id) => begun.has(id),
    noteBegun: ({ batch, host: executor }) => {
      executorReports.push(`${batch} at ${executor}`);
    },
    announce: async ({ host: leaving }) => {
      announced.push(leaving);
      return acceptsWork;
    },
    takeOver: async (handover) => {
      if (acceptsWork) taken.push(handover);
      return acceptsWork;
    },
    claimTrial: () => 0,
    cancelTrial: () => {},
    exchangeCrashes: (crashes) => {
      const known = [...crashesHere];
      crashesHere.push(...crashes);
      return known;
    },
    findNewerSettings: (version) => (version < 2 ? 'version 2' : null),
    listEvacuations: () => [{ failureDomain: 'detroit', isEvacuated: true, offset: 7 }],
    touch: async () => (acceptsWork ? 'steady' : 'none'),
  };
  const server = newPeerServer(service, memory);
  const [answer] = server.listeners('request') as ((...args: unknown[]) => void)[];
  server.removeAllListeners('request');
  server.on('request', (...args) => setTimeout(() => answer?.(...args), answerMs));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const peer = { host, failureDomain: 'detroit', address: `127.0.0.1:${port}`, cores: 1 };
  return { peer, taken, begun, announced, executorReports, crashesHere, server };
};

export const newCaller = (
  peers: Peer[],
  reported: BatchExecutor | null = null,
  metrics = newMetrics(),
) =>
  newPeers({
    clock,
    log: silentLog,
    oddValues: newOddValues(clock, silentLog, metrics),
    failureDomain: 'detroit',
    readPeers: () => peers,
    self: { host: 'a', cores: 1, failureDomain: 'detroit', address: '127.0.0.1:1' },
    mayHold: () => true,
    // The caller itself is ranked last.
    rank: (_batch, hosts) =>
      hosts
        .map(({ host }) => host)
        .sort()
        .reverse(),
    beginHere: () => 'leaving',
    hasBegunHere: () => false,
    recordExecutorHere: () => {},
    findReportedExecutor: () => reported,
  });

export const handover: Handover = {
  batch: newBatch('b', [newItem('1')]),
  texts: [],
  from: 'a-run',
  isSenderCut: false,
};

/** Fails the test if a promise that nobody awaits rejects, which would end a host. */
export const watchRejections = (t: ExecutionContext): void => {
  const note = (error: unknown): void => t.fail(`nobody awaits: ${String(error)}`);
  process.on('unhandledRejection', note);
  t.teardown(() => process.off('unhandledRejection', note));
};
