import type { RunningProgram } from '@cyclamengate/common/startProgram';
import { CHECKPOINT_LEASE, REPORTS_LEASE } from '@cyclamengate/coordination/leaseNames';
import newDaemon from '@cyclamengate/coordination/newDaemon';
import writeCheckpoints from '@cyclamengate/coordination/writeCheckpoints';
import { newHttpUsageReports } from '@cyclamengate/platform/newHttpUsageReports';
import type { HostSettings } from '@cyclamengate/settings/hostSettings';
import reportUsage from '@cyclamengate/usage/reportUsage';
import newDomainTasks from './newDomainTasks.js';

const PROGRAM = 'cyclamengate-control';

/** The process that orders upstreams, rolls out weights, reports usage and writes checkpoints. */
const newControl = (settings: HostSettings) => {
  const daemon = newDaemon(PROGRAM, 'control', settings);
  const { clock, log, tasks, runtime } = daemon;
  const { follower, writer } = runtime;
  const domainTasks = newDomainTasks(daemon);

  const start = async (): Promise<RunningProgram> => {
    await daemon.start();
    const reportsLease = runtime.startLease(REPORTS_LEASE);
    const checkpointLease = runtime.startLease(CHECKPOINT_LEASE);
    const reports = newHttpUsageReports(settings.platform.reports);
    const windowMs = settings.usageWindowSeconds * 1_000;
    tasks.start('usage reports', (signal) =>
      reportUsage({ clock, log, follower, writer, lease: reportsLease, reports, windowMs }, signal),
    );
    tasks.start('checkpoints', (signal) =>
      writeCheckpoints(clock, follower, writer, checkpointLease, signal),
    );
    runtime.onSettings(domainTasks.startNewDomains);

    const drain = async (): Promise<void> => {
      const leases = [reportsLease, checkpointLease, ...domainTasks.leases()];
      await Promise.all(leases.map((lease) => lease.release()));
      await daemon.stop();
    };
    return { drain };
  };

  return { start };
};

export default newControl;
