import { isAllowed } from '@cyclamengate/settings/applySettingsChange';
import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import type { SettingsTree } from '@cyclamengate/settings/settingsTree';
import type { DomainEvacuation } from './evacuationRecord.js';

const ROOT_PATH = '/';

/** Adds or removes an evacuated failure domain; only operators of the whole tree may. */
const applyEvacuation = (
  evacuatedDomains: string[],
  settings: SettingsTree,
  { operator, failureDomain, isEvacuated }: DomainEvacuation,
): Decision => {
  if (!isAllowed(settings, operator, ROOT_PATH)) {
    return rejected(`operator ${operator} has no right to evacuate a failure domain`);
  }
  const index = evacuatedDomains.indexOf(failureDomain);
  if (isEvacuated && index === -1) evacuatedDomains.push(failureDomain);
  if (!isEvacuated && index !== -1) evacuatedDomains.splice(index, 1);
  return ACCEPTED;
};

export default applyEvacuation;
