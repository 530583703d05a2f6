import type { EffectiveSettings } from './newSettingsView.js';
import type { Customer, Route } from './operatorSettings.js';

/** The route of a host name whose prefix is the longest that begins the path. */
export const findRoute = (
  effective: EffectiveSettings,
  hostName: string,
  path: string,
): Route | null => {
  const [pathOnly = ''] = path.split('?');
  const routes = effective.routes.get(hostName) ?? [];
  return routes.find(({ pathPrefix }) => pathOnly.startsWith(pathPrefix)) ?? null;
};

/** Who calls: a customer, nobody in particular, or somebody without a right to. */
export type Caller = { type: 'customer'; customer: Customer } | { type: 'anyone' };

export const findCaller = (
  effective: EffectiveSettings,
  route: Route | null,
  key: string | null,
): Caller | null => {
  if (effective.settings.customers === null || route?.isPublic) return { type: 'anyone' };
  const customer = key === null ? undefined : effective.customersByKey.get(key);
  return customer ? { type: 'customer', customer } : null;
};

/**
 * Which service a route's request goes to, by the parts of its splits. The same id always gets the
 * same service, so that a repetition does not wander.
 */
export const pickService = (route: Route, seed: number): string | null => {
  const total = route.splits.reduce((sum, { weight }) => sum + weight, 0);
  let left = seed * total;
  const picked = route.splits.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (picked ?? route.splits.at(-1))?.service ?? null;
};
