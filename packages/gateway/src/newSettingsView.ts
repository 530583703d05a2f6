import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Customer, OperatorSettings, Route, Service } from './operatorSettings.js';

/** The settings in force, indexed for lookup. */
export interface EffectiveSettings {
  settings: OperatorSettings;
  /** Routes by host name, longest prefix first. */
  routes: Map<string, Route[]>;
  routesByName: Map<string, Route>;
  services: Map<string, Service>;
  customersByKey: Map<string, Customer>;
  customersByName: Map<string, Customer>;
}

/** Of several with one name, the first counts. */
const indexByName = <T extends { name: string }>(list: T[]): Map<string, T> =>
  new Map([...list].reverse().map((named) => [named.name, named]));

const indexSettings = (settings: OperatorSettings): EffectiveSettings => {
  const routes = new Map<string, Route[]>();
  settings.routes.forEach((route) => {
    const hostRoutes = routes.get(route.hostName);
    if (hostRoutes) hostRoutes.push(route);
    else routes.set(route.hostName, [route]);
  });
  routes.forEach((hostRoutes) =>
    hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length),
  );
  const keys = (settings.customers ?? []).flatMap((customer) =>
    customer.keys.map((key): [string, Customer] => [key, customer]),
  );
  return {
    settings,
    routes,
    routesByName: indexByName(settings.routes),
    services: new Map(settings.services.map((service) => [service.name, service])),
    customersByKey: new Map(keys),
    customersByName: indexByName(settings.customers ?? []),
  };
};

/** Holds the settings in force on this host, which are never replaced by an older version. */
const newSettingsView = (log: EventLog) => {
  let effective: EffectiveSettings | null = null;
  let sourceInForce: string | null = null;

  return {
    /** @param source the settings as the operator published them, for hosts that lack them */
    put: (settings: OperatorSettings, source: string | null = null): void => {
      const before = effective?.settings.version ?? -1;
      if (settings.version <= before) {
        log.warn('settings.older', { version: settings.version, inForce: before });
        return;
      }
      effective = indexSettings(settings);
      sourceInForce = source;
      log.info('settings.in-force', {
        version: settings.version,
        before,
        routes: settings.routes.length,
        services: settings.services.length,
        customers: settings.customers?.length ?? null,
      });
    },
    read: (): EffectiveSettings | null => effective,
    version: (): number => effective?.settings.version ?? -1,
    /** The source of the settings in force if they are newer than a version; null if not. */
    findNewerSource: (version: number): string | null =>
      (effective?.settings.version ?? -1) > version ? sourceInForce : null,
  };
};

export type SettingsView = ReturnType<typeof newSettingsView>;

export default newSettingsView;
