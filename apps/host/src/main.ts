import handleEarlySignals from '@cyclamengate/common/handleEarlySignals';
import newUncaughtErrors from '@cyclamengate/common/newUncaughtErrors';

// Before all else is loaded, which takes a while.
handleEarlySignals();
const errors = newUncaughtErrors();

const run = async (): Promise<void> => {
  const { default: runHost } = await import('./runHost.js');
  await runHost(errors);
};

// A failed start is an error that nothing else handles, and ends the process.
void run();
