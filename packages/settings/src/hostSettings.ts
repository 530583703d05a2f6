import { z } from 'zod';
import { nameSchema } from './names.js';

const portSchema = z.int().min(0).max(65_535);
const addressSchema = z.strictObject({
  /** An IP number; hosts do not look up names. */
  host: z.union([z.ipv4(), z.ipv6()], 'allowed: an IPv4 or IPv6 address'),
  port: portSchema,
});
const urlSchema = z
  .string()
  .regex(/^http:\/\/[^/\s]+:\d+$/, 'allowed: http://ADDRESS:PORT without a path');

/** Who goes next among waiting requests; `fifo` is there to be measured against. */
export const queuePolicySchema = z.enum(['fair', 'fifo']);
export type QueuePolicyName = z.infer<typeof queuePolicySchema>;

/** Which upstream gets a request; all but `affinity` are there to be measured against. */
export const choicePolicySchema = z.enum(['affinity', 'least-in-flight', 'random']);
export type ChoicePolicyName = z.infer<typeof choicePolicySchema>;

/** What one process is told at its start, in its own YAML file. Everything else is published. */
export const hostSettingsSchema = z.strictObject({
  id: nameSchema,
  failureDomain: nameSchema,
  /** Where callers, trainers or scrapers reach it. */
  listen: addressSchema,
  /** Where other processes of the system reach it. */
  peer: addressSchema,
  /** Peers to ask first, as `http://ADDRESS:PORT`. */
  seeds: z.array(urlSchema).default([]),
  platform: z.strictObject({
    log: urlSchema,
    orders: urlSchema,
    reports: urlSchema,
    hosts: urlSchema,
  }),
  /** For the rollout process: entries that run its generations. */
  entries: z.array(urlSchema).default([]),
  usageWindowSeconds: z.int().min(1).max(86_400).default(60),
  policy: z
    .strictObject({
      queue: queuePolicySchema.default('fair'),
      choice: choicePolicySchema.default('affinity'),
      /** Part of the slots kept free for customers that run less than their share. */
      reservedPart: z.number().min(0).max(0.5).default(0.25),
    })
    .prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type HostSettings = z.infer<typeof hostSettingsSchema>;
