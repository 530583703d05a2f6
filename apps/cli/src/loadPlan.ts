import { z } from 'zod';

const customerLoadSchema = z.strictObject({
  /** A customer of the settings; its key is `keyPrefix` followed by this id, or `key`. */
  id: z.string(),
  key: z.string().optional(),
  /** Requests a second, arriving at random moments whether or not earlier ones are answered. */
  requestsPerSecond: z.number().min(0).max(10_000),
});

/** What a load run sends. Bounded in time and number; to loopback addresses alone. */
export const loadPlanSchema = z.strictObject({
  model: z.string(),
  keyPrefix: z.string().default('cgk_demo-'),
  customers: z.array(customerLoadSchema).min(1),
  /** Spreads this many requests a second over the customers by Zipf's law, on top of their own. */
  zipf: z
    .strictObject({
      requestsPerSecond: z.number().min(0).max(10_000),
      exponent: z.number().min(0).max(5),
    })
    .optional(),
  seconds: z.number().min(0.1).max(600),
  /** Measured from here on, so that the start does not count. */
  warmupSeconds: z.number().min(0).max(600).default(1),
  maxTokens: z.int().min(1).max(10_000).default(32),
  /** Different prompt prefixes, which upstreams can cache; picked by Zipf's law. */
  prefixes: z.int().min(1).max(100_000).default(50),
  timeoutMs: z.int().min(1).max(600_000).default(60_000),
  seed: z.int().default(1),
});

export type LoadPlan = z.infer<typeof loadPlanSchema>;
