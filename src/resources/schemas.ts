/** The resources that operators declare. */
import { z } from 'zod';
import { DEFAULT_TENANT_LIMITS } from '../systems/admission.js';

/** Version of the resource API. */
export const API_VERSION = 'thistleway/v1';

const name = z
  .string()
  .regex(/^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/, 'must be 1 to 63 of a-z, 0-9, "-" and "."');
const digest = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest: 64 hexadecimal digits');
const metadata = z.strictObject({ name });

/** Which model and version serves which tenant, where, how often and how urgently. */
export const modelDeployment = z.strictObject({
  apiVersion: z.literal(API_VERSION),
  kind: z.literal('ModelDeployment'),
  metadata,
  spec: z.strictObject({
    tenant: name,
    /** Name under which callers ask for the model. */
    model: z.string().min(1),
    /** Digest of the version's manifest. */
    version: digest,
    /** Pool of engines that serve it. */
    pool: name,
    /** Places in which weights may lie and answers may travel. */
    places: z.array(name).min(1),
    replicas: z.number().int().min(0).max(10_000),
    /** Higher goes first, in placement and in bursts. */
    priority: z.number().int().min(0).max(1_000).default(0),
    /** What a burst weighs most. */
    objective: z.enum(['fastest', 'leastOriginBytes']).default('fastest'),
  }),
});

/** A plain service beside the engines. */
export const service = z.strictObject({
  apiVersion: z.literal(API_VERSION),
  kind: z.literal('Service'),
  metadata,
  spec: z.strictObject({
    tenant: name,
    places: z.array(name).min(1),
    /** Higher goes first at an entry that is full. */
    priority: z.number().int().min(0).max(1_000).default(0),
    /** Paths (by prefix) whose calls may be repeated; GET and HEAD always may. */
    repeatable: z.array(z.string().startsWith('/')).default([]),
  }),
});

/** A tenant. */
export const tenant = z.strictObject({
  apiVersion: z.literal(API_VERSION),
  kind: z.literal('Tenant'),
  metadata,
  spec: z.strictObject({
    title: z.string().default(''),
    /** What the tenant may have at one entry. */
    limits: z
      .strictObject({
        /** Requests that run at the same time. */
        inProgress: z.number().int().min(1).default(DEFAULT_TENANT_LIMITS.inProgress),
        /** Requests that wait. */
        queued: z.number().int().min(0).default(DEFAULT_TENANT_LIMITS.queued),
      })
      .prefault({}),
  }),
});

/** Any resource. */
export const resource = z.discriminatedUnion('kind', [modelDeployment, service, tenant]);

export type ModelDeployment = z.output<typeof modelDeployment>;
export type Service = z.output<typeof service>;
export type Tenant = z.output<typeof tenant>;
export type Resource = z.output<typeof resource>;

/** Key of a resource: its kind and name. */
export function resourceKey(value: Resource): string {
  return `${value.kind}/${value.metadata.name}`;
}
