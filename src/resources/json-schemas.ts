/** JSON Schemas of the resources for completion in editors, generated from the schemas that validate the resources. */
import { z } from 'zod';
import { modelDeployment, service, tenant } from './schemas.js';

const KINDS = { ModelDeployment: modelDeployment, Service: service, Tenant: tenant } as const;

/** A kind of resource. */
export type ResourceKind = keyof typeof KINDS;

export const RESOURCE_KINDS = Object.keys(KINDS) as ResourceKind[];

/** Returns the JSON Schema (draft 2020-12) of the input for a kind: fields with defaults are optional. */
export function jsonSchemaOf(kind: ResourceKind): object {
  return z.toJSONSchema(KINDS[kind], { io: 'input' });
}
