import type { EffectiveSettings } from './newSettingsView.js';
import type { Customer, Route } from './operatorSettings.js';

/** Finds the host name's route with the longest prefix that matches the path. */
export const findRoute = (
  effective: EffectiveSettings,
  hostName: string,
  path: string,
): Route | null => {
  const [pathOnly = ''] = path.split('?');
  const routes = effective.routes.get(hostName) ?? [];
  return routes.find(({ pathPrefix }) => pathOnly.startsWith(pathPrefix)) ?? null;
};

/** An authenticated customer, or anyone if no key is required. */
export type Caller = { type: 'customer'; customer: Customer } | { type: 'anyone' };

/** Identifies the caller by its key; null if a valid key is required but missing. */
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
 * Chooses the service for a request among the route's splits, in proportion to their weights. The
 * same seed always selects the same service, so that a repeated request goes to the same one.
 *
 * @param seed number from 0 to below 1
 */
export const pickService = (route: Route, seed: number): string | null => {
  const total = route.splits.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = seed * total;
  const picked = route.splits.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (picked ?? route.splits.at(-1))?.service ?? null;
};
