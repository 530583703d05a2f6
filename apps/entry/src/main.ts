import startProgram from '@cyclamengate/common/startProgram';
import { hostSettingsSchema } from '@cyclamengate/settings/hostSettings';
import readYamlFile from '@cyclamengate/settings/readYamlFile';
import newEntry from './newEntry.js';

await startProgram('cyclamengate-entry', async (path) => {
  const settings = await readYamlFile(path, hostSettingsSchema);
  return settings.ok ? newEntry(settings.val).start() : settings.val;
});
