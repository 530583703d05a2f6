import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Customer, OperatorSettings, Route, Service } from './operatorSettings.js';

/** Settings in force, arranged for look-up. */
export interface EffectiveSettings {
  settings: OperatorSettings;
  /** Routes of a host name, longest prefix first. */
  routes: Map<string, Route[]>;
  services: Map<string, Service>;
  customersByKey: Map<string, Customer>;
}

const arrange = (settings: OperatorSettings): EffectiveSettings => {
  const routes = new Map<string, Route[]>();
  settings.routes.forEach((route) => {
    const same = routes.get(route.hostName) ?? [];
    routes.set(route.hostName, [...same, route]);
  });
  routes.forEach((same) =>
    same.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length),
  );
  const keys = (settings.customers ?? []).flatMap((customer) =>
    customer.keys.map((key): [string, Customer] => [key, customer]),
  );
  return {
    settings,
    routes,
    services: new Map(settings.services.map((service) => [service.name, service])),
    customersByKey: new Map(keys),
  };
};

/** The settings that are in force on this host. They never go back to an older version. */
const newSettingsView = (log: EventLog) => {
  let effective: EffectiveSettings | null = null;

  return {
    put: (settings: OperatorSettings): void => {
      const before = effective?.settings.version ?? -1;
      if (settings.version <= before) {
        log.warn('settings.older', { version: settings.version, inForce: before });
        return;
      }
      effective = arrange(settings);
      log.info('settings.in-force', {
        version: settings.version,
        before,
        routes: settings.routes.length,
        services: settings.services.length,
        customers: settings.customers?.length ?? null,
      });
    },
    read: (): EffectiveSettings | null => effective,
  };
};

export type SettingsView = ReturnType<typeof newSettingsView>;

export default newSettingsView;
