/** Schemas of the resources that operators declare. */
import { z } from 'zod';
import { DEFAULT_TENANT_LIMITS } from '../systems/admission.js';

/** Version of the resource API. */
export const API_VERSION = 'thistleway/v1';

const name = z
  .string()
  .regex(/^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/, 'must be 1 to 63 of a-z, 0-9, "-" and "."');
const digest = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest: 64 hexadecimal digits');
const metadata = z.strictObject({ name });

/** Deploys a version of a model for a tenant: its places, number of replicas and priority. */
export const modelDeployment = z.strictObject({
  apiVersion: z.literal(API_VERSION),
  kind: z.literal('ModelDeployment'),
  metadata,
  spec: z.strictObject({
    tenant: name,
    /** Name by which callers request the model. */
    model: z.string().min(1),
    /** Digest of the version's manifest. */
    version: digest,
    /** Pool of engines that serve the model. */
    pool: name,
    /** Places in which weights may be stored and through which answers may pass. */
    places: z.array(name).min(1),
    replicas: z.number().int().min(0).max(10_000),
    /** Higher priorities go first, in placement and in bursts. */
    priority: z.number().int().min(0).max(1_000).default(0),
    /** Optimization goal of a burst. */
    objective: z.enum(['fastest', 'leastOriginBytes']).default('fastest'),
  }),
});

/** A plain service, which is not a model engine. */
export const service = z.strictObject({
  apiVersion: z.literal(API_VERSION),
  kind: z.literal('Service'),
  metadata,
  spec: z.strictObject({
    tenant: name,
    places: z.array(name).min(1),
    /** Higher priorities go first at an entry that is full. */
    priority: z.number().int().min(0).max(1_000).default(0),
    /** Path prefixes of calls that may be repeated; GET and HEAD calls always may. */
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
    /** Limits of the tenant at one entry. */
    limits: z
      .strictObject({
        /** Maximum number of concurrent requests. */
        inProgress: z.number().int().min(1).default(DEFAULT_TENANT_LIMITS.inProgress),
        /** Maximum number of queued requests. */
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
