const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

const exit = (): void => process.exit(0);

/**
 * Handles signals from the first instruction of a program until it has handlers of its own: nothing is
 * served yet, so a stop signal ends the process at once, with success. SIGHUP, whose default ends the
 * process, says that the settings file has changed, which is yet to be read.
 */
const handleEarlySignals = (): void => {
  STOP_SIGNALS.forEach((signal) => process.on(signal, exit));
  process.on('SIGHUP', () => {});
};

export default handleEarlySignals;
