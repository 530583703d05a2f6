import { intersectHomes } from '@cyclamengate/common/homes';
import type { Homes } from '@cyclamengate/common/homes';
import type { EffectiveSettings } from './newSettingsView.js';
import type { Route } from './operatorSettings.js';

const toSet = (regions: string[] | null | undefined): Homes => (regions ? new Set(regions) : null);

/**
 * The regions in which a request of a customer may run.
 * @param customer null if the request needs no key
 */
const findHomes = (
  { customersByName }: EffectiveSettings,
  route: Route | null | undefined,
  customer: string | null,
): Homes => {
  const owner = customer === null ? undefined : customersByName.get(customer);
  return intersectHomes(toSet(route?.homes), toSet(owner?.homes));
};

export default findHomes;
