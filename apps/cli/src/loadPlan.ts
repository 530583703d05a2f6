import { z } from 'zod';

const customerLoadSchema = z.strictObject({
  /** Id of a customer in the settings. Its key is `key` or else `keyPrefix` followed by this id. */
  id: z.string(),
  key: z.string().optional(),
  /** Requests per second, sent at random times whether or not earlier ones are answered. */
  requestsPerSecond: z.number().min(0).max(10_000),
});

/** The load of a bench run: limited in duration and rate, and sent to loopback addresses only. */
export const loadPlanSchema = z.strictObject({
  model: z.string(),
  keyPrefix: z.string().default('cgk_demo-'),
  customers: z.array(customerLoadSchema).min(1),
  /** Additional requests per second, distributed over the customers by Zipf's law. */
  zipf: z
    .strictObject({
      requestsPerSecond: z.number().min(0).max(10_000),
      exponent: z.number().min(0).max(5),
    })
    .optional(),
  seconds: z.number().min(0.1).max(600),
  /** Requests that are due earlier are sent but not measured. */
  warmupSeconds: z.number().min(0).max(600).default(1),
  maxTokens: z.int().min(1).max(10_000).default(32),
  /** Number of different prompt prefixes, which upstreams can cache; chosen by Zipf's law. */
  prefixes: z.int().min(1).max(100_000).default(50),
  timeoutMs: z.int().min(1).max(600_000).default(60_000),
  seed: z.int().default(1),
});

export type LoadPlan = z.infer<typeof loadPlanSchema>;
