import { handler } from '@cyclamengate/common/handler';
import type { Running } from '@cyclamengate/common/startProgram';
import newDaemon from '@cyclamengate/coordination/newDaemon';
import newEntrySampleMaker from '@cyclamengate/rollouts/newEntrySampleMaker';
import newPayloadCopies from '@cyclamengate/rollouts/newPayloadCopies';
import newPayloadStore from '@cyclamengate/rollouts/newPayloadStore';
import newSampleReader from '@cyclamengate/rollouts/newSampleReader';
import newStepRunner from '@cyclamengate/rollouts/newStepRunner';
import type { HostSettings } from '@cyclamengate/settings/hostSettings';
import newTrainerHandlers from './newTrainerHandlers.js';

const PROGRAM = 'cyclamengate-rollout';
/** After this time a process has heard of every live peer. */
const SETTLE_MS = 15_000;

/** The process that trainers talk to. */
const newRollout = (settings: HostSettings) => {
  const store = newPayloadStore();
  const daemon = newDaemon(PROGRAM, 'rollout', settings, {
    keepPayload: store.keep,
    readPayload: store.read,
  });
  const { clock, log, metrics, runtime, app } = daemon;
  const { follower, writer, membership, peerAt, self } = runtime;
  const settledAt = clock.now() + SETTLE_MS;
  const copies = newPayloadCopies({
    store,
    self,
    others: () => membership.others().filter(({ role }) => role === 'rollout'),
    peerAt,
    isSettled: () => clock.now() >= settledAt,
  });

  /** Entries of the own failure domain first; those in the settings while no peer is known. */
  const pickEntry = (): string | null => {
    const entries = membership
      .others()
      .filter(({ role, isLeaving }) => role === 'entry' && !isLeaving);
    const near = entries.filter(({ failureDomain }) => failureDomain === settings.failureDomain);
    const known = (near.length > 0 ? near : entries).map(({ url }) => url);
    const from = known.length > 0 ? known : settings.entries;
    return from[Math.floor(Math.random() * from.length)] ?? null;
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

  /** Samples not bound yet are made anew by whichever process the trainer asks next. */
  const drain = async (): Promise<void> => {
    await daemon.announceLeaving();
    await daemon.stop();
  };

  const start = async (): Promise<Running> => {
    await daemon.start();
    return { drain };
  };

  return { start };
};

export default newRollout;
