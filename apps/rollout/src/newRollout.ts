import { handler } from '@cyclamengate/common/handler';
import type { RunningProgram } from '@cyclamengate/common/startProgram';
import newDaemon from '@cyclamengate/coordination/newDaemon';
import newEntrySampleMaker from '@cyclamengate/rollouts/newEntrySampleMaker';
import newPayloadCopies from '@cyclamengate/rollouts/newPayloadCopies';
import newPayloadStore from '@cyclamengate/rollouts/newPayloadStore';
import newSampleReader from '@cyclamengate/rollouts/newSampleReader';
import newStepRunner from '@cyclamengate/rollouts/newStepRunner';
import type { HostSettings } from '@cyclamengate/settings/hostSettings';
import newTrainerHandlers from './newTrainerHandlers.js';

const PROGRAM = 'cyclamengate-rollout';
/** Time after its start from which a process is assumed to know all live peers. */
const PEER_DISCOVERY_MS = 15_000;

/** The process that serves trainers' requests. */
const newRollout = (settings: HostSettings) => {
  const store = newPayloadStore();
  const daemon = newDaemon(PROGRAM, 'rollout', settings, {
    keepPayload: store.put,
    readPayload: store.read,
  });
  const { clock, log, metrics, runtime, app } = daemon;
  const { follower, writer, membership, peerAt, self } = runtime;
  const peersKnownAt = clock.now() + PEER_DISCOVERY_MS;
  const copies = newPayloadCopies({
    store,
    self,
    others: () => membership.others().filter(({ role }) => role === 'rollout'),
    peerAt,
    arePeersKnown: () => clock.now() >= peersKnownAt,
  });

  /**
   * Picks a random entry, from the own failure domain if possible, or one from the settings while no
   * live entry is known.
   */
  const pickEntry = (): string | null => {
    const entries = membership
      .others()
      .filter(({ role, isLeaving }) => role === 'entry' && !isLeaving);
    const inSameDomain = entries.filter(
      ({ failureDomain }) => failureDomain === settings.failureDomain,
    );
    const peerUrls = (inSameDomain.length > 0 ? inSameDomain : entries).map(({ url }) => url);
    const candidates = peerUrls.length > 0 ? peerUrls : settings.entries;
    return candidates[Math.floor(Math.random() * candidates.length)] ?? null;
  };

  const runner = newStepRunner({
    clock,
    log,
    metrics,
    follower,
    writer,
    copies,
    maker: newEntrySampleMaker(pickEntry),
  });
  const readSamples = newSampleReader({ clock, metrics, follower, writer, copies });
  const handlers = newTrainerHandlers(daemon, runner, readSamples);
  const onFault = (error: unknown): void => {
    log.error({ event: 'handler-failed', error: String((error as Error).stack ?? error) });
  };
  app.post('/v1/trainers/:trainer/weights', handler(onFault, handlers.publishWeights));
  app.post('/v1/trainers/:trainer/steps', handler(onFault, handlers.openStep));
  app.get('/v1/trainers/:trainer/steps/:step/samples', handler(onFault, handlers.sendSamples));
  metrics.gauge('payload_bytes', store.bytes);

  /** Does not wait for unbound samples: the process that the trainer asks next generates them again. */
  const drain = async (): Promise<void> => {
    await daemon.announceLeaving();
    await daemon.stop();
  };

  const start = async (): Promise<RunningProgram> => {
    await daemon.start();
    return { drain };
  };

  return { start };
};

export default newRollout;
