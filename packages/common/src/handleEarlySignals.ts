const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

const exit = (): void => process.exit(0);

/** The settings are read once, when the process starts. */
const ignore = (): void => {};

/**
 * Handles signals from the first instruction of a program until it has handlers of its own: nothing is
 * served yet, so a stop signal ends the process at once, with success. SIGHUP, whose default ends the
 * process, says that the settings file has changed, which is yet to be read.
 */
const handleEarlySignals = (): void => {
  STOP_SIGNALS.forEach((signal) => process.on(signal, exit));
  process.on('SIGHUP', ignore);
};

export default handleEarlySignals;
