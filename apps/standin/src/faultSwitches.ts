import { z } from 'zod';

/**
 * What a stand-in can be told to do wrong.
 * - `down`: resets every connection
 * - `slow`: answers late by `delayMs`
 * - `lose-answer`: does what was asked, then resets the connection
 * - `silent`: takes the request and never answers
 * - `ignore-fence`: takes orders with an old fencing number
 * - `fail-swap`: a weight swap ends half way, with no version in force
 * - `cross-answers`: answers with another request's id
 * - `cut-answers`: ends an answer in good order before it is whole
 * - `lag-load`: reports the load as it was `delayMs` ago
 * - `late-events`: tells of cache events `delayMs` after they happened
 * - `gap-events`: leaves out one cache event in three
 * - `none-available`: can start no more upstreams of this kind
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
  /** `log`, `orders`, `reports`, `hosts`, `weights` or an upstream's id. */
  target: z.string(),
  fault: faultSchema,
  isOn: z.boolean().default(true),
  /** It ends by itself after so many uses; -1 for never. */
  times: z.int().default(-1),
  delayMs: z.int().min(0).default(1_000),
});

export type FaultSwitch = z.infer<typeof faultSwitchSchema>;

/** The faults that are switched on. */
export const newFaultSwitches = () => {
  const switches = new Map<string, FaultSwitch>();
  const nameOf = (target: string, fault: Fault): string => `${target} ${fault}`;

  return {
    set: (wanted: FaultSwitch): void => {
      const name = nameOf(wanted.target, wanted.fault);
      if (wanted.isOn) switches.set(name, { ...wanted });
      else switches.delete(name);
    },
    /** The switch, if it is on; counts the use. */
    use: (target: string, fault: Fault): FaultSwitch | null => {
      const found = switches.get(nameOf(target, fault));
      if (!found) return null;
      if (found.times > 0) found.times -= 1;
      if (found.times === 0) switches.delete(nameOf(target, fault));
      return found;
    },
  };
};

export type FaultSwitches = ReturnType<typeof newFaultSwitches>;
