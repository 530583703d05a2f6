import startProgram from '@cyclamengate/common/startProgram';
import { hostSettingsSchema } from '@cyclamengate/settings/hostSettings';
import readYamlFile from '@cyclamengate/settings/readYamlFile';
import newControl from './newControl.js';

await startProgram('cyclamengate-control', async (path) => {
  const settings = await readYamlFile(path, hostSettingsSchema);
  return settings.ok ? newControl(settings.val).start() : settings.val;
});
