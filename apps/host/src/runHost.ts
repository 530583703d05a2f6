import startProgram from '@cyclamengate/common/startProgram';
import type { UncaughtErrors } from '@cyclamengate/common/newUncaughtErrors';
import readYamlFile from '@cyclamengate/settings/readYamlFile';
import { hostSettingsSchema } from './hostSettings.js';
import newHost from './newHost.js';

/** Runs a host as the program of this process. */
const runHost = (errors: UncaughtErrors): Promise<void> =>
  startProgram(
    'cyclamengate-host',
    async (path) => {
      const settings = await readYamlFile(path, hostSettingsSchema);
      return settings.ok ? newHost(settings.val, errors).start() : settings.val;
    },
    errors,
  );

export default runHost;
