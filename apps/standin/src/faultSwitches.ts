import { z } from 'zod';

/**
 * Faults that can be switched on in a stand-in.
 * - `down`: resets every connection
 * - `slow`: delays each response by `delayMs`
 * - `lose-answer`: processes the request, then resets the connection instead of responding
 * - `silent`: accepts the request and never responds
 * - `ignore-fence`: accepts orders with a stale fencing token
 * - `fail-swap`: a load of weights fails and leaves the trainer without a loaded version
 * - `cross-answers`: responds with the id of another request
 * - `cut-answers`: ends a streamed response cleanly before it is complete
 * - `lag-load`: reports the load as it was `delayMs` ago
 * - `late-events`: publishes cache events `delayMs` after they occurred
 * - `gap-events`: omits one cache event in three
 * - `none-available`: starts no further upstreams
 */
export const faultSchema = z.enum([
  'down',
  'slow',
  'lose-answer',
  'silent',
  'ignore-fence',
  'fail-swap',
  'cross-answers',
  'cut-answers',
  'lag-load',
  'late-events',
  'gap-events',
  'none-available',
]);

export type Fault = z.infer<typeof faultSchema>;

export const faultSwitchSchema = z.strictObject({
  /** `log`, `orders`, `reports`, `hosts`, `weights` or the id of an upstream. */
  target: z.string(),
  fault: faultSchema,
  isOn: z.boolean().default(true),
  /** Number of uses after which the fault switches itself off; -1 for no limit. */
  times: z.int().default(-1),
  delayMs: z.int().min(0).default(1_000),
});

export type FaultSwitch = z.infer<typeof faultSwitchSchema>;

/** Holds the faults that are switched on. */
export const newFaultSwitches = () => {
  const switches = new Map<string, FaultSwitch>();
  const switchKey = (target: string, fault: Fault): string => `${target} ${fault}`;

  return {
    set: (wanted: FaultSwitch): void => {
      const key = switchKey(wanted.target, wanted.fault);
      if (wanted.isOn) switches.set(key, { ...wanted });
      else switches.delete(key);
    },
    /** Returns the switch of a fault that is on and counts one use of it, or null. */
    use: (target: string, fault: Fault): FaultSwitch | null => {
      const faultSwitch = switches.get(switchKey(target, fault));
      if (!faultSwitch) return null;
      if (faultSwitch.times > 0) faultSwitch.times -= 1;
      if (faultSwitch.times === 0) switches.delete(switchKey(target, fault));
      return faultSwitch;
    },
  };
};

export type FaultSwitches = ReturnType<typeof newFaultSwitches>;
