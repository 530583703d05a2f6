import startProgram from '@cyclamengate/common/startProgram';
import { hostSettingsSchema } from '@cyclamengate/settings/hostSettings';
import readYamlFile from '@cyclamengate/settings/readYamlFile';
import newRollout from './newRollout.js';

await startProgram('cyclamengate-rollout', async (path) => {
  const settings = await readYamlFile(path, hostSettingsSchema);
  return settings.ok ? newRollout(settings.val).start() : settings.val;
});
