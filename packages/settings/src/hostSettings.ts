import { z } from 'zod';
import { nameSchema } from './names.js';

const portSchema = z.int().min(0).max(65_535);
const addressSchema = z.strictObject({
  /** An IP address; hosts do not resolve names. */
  host: z.union([z.ipv4(), z.ipv6()], 'allowed: an IPv4 or IPv6 address'),
  port: portSchema,
});
const urlSchema = z
  .string()
  .regex(/^http:\/\/[^/\s]+:\d+$/, 'allowed: http://ADDRESS:PORT without a path');

/** Order in which queued requests are started; `fifo` is a baseline for measurements. */
export const queuePolicySchema = z.enum(['fair', 'fifo']);
export type QueuePolicyName = z.infer<typeof queuePolicySchema>;

/** How an upstream is chosen for a request; all but `affinity` are baselines for measurements. */
export const choicePolicySchema = z.enum(['affinity', 'least-in-flight', 'random']);
export type ChoicePolicyName = z.infer<typeof choicePolicySchema>;

/** Settings that a process reads from its own YAML file at start. All others are published. */
export const hostSettingsSchema = z.strictObject({
  id: nameSchema,
  failureDomain: nameSchema,
  /** Address for callers, trainers and metrics scrapers. */
  listen: addressSchema,
  /** Address for other processes of the system. */
  peer: addressSchema,
  /** Peers to contact at start, as `http://ADDRESS:PORT`. */
  seeds: z.array(urlSchema).default([]),
  platform: z.strictObject({
    log: urlSchema,
    orders: urlSchema,
    reports: urlSchema,
    hosts: urlSchema,
  }),
  /** URLs of the entries that the rollout process sends its generations to. */
  entries: z.array(urlSchema).default([]),
  usageWindowSeconds: z.int().min(1).max(86_400).default(60),
  policy: z
    .strictObject({
      queue: queuePolicySchema.default('fair'),
      choice: choicePolicySchema.default('affinity'),
      /** Fraction of the slots reserved for customers that use less than their share. */
      reservedPart: z.number().min(0).max(0.5).default(0.25),
    })
    .prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type HostSettings = z.infer<typeof hostSettingsSchema>;
