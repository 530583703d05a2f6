import startProgram from '@cyclamengate/common/startProgram';
import readYamlFile from '@cyclamengate/settings/readYamlFile';
import { hostSettingsSchema } from './hostSettings.js';
import newHost from './newHost.js';

startProgram('cyclamengate-host', async (path) => {
  const settings = await readYamlFile(path, hostSettingsSchema);
  return settings.ok ? newHost(settings.val).start() : settings.val;
});
