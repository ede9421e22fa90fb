/** JSON Schemas of the resources, made from the same definitions that check them; editors take them for completion. */
import { z } from 'zod';
import { modelDeployment, service, tenant } from './schemas.js';

const KINDS = { ModelDeployment: modelDeployment, Service: service, Tenant: tenant } as const;

/** A kind of resource. */
export type ResourceKind = keyof typeof KINDS;

/** All kinds. */
export const RESOURCE_KINDS = Object.keys(KINDS) as ResourceKind[];

/** The JSON Schema (draft 2020-12) of what operators write for a kind: fields with defaults may be left out. */
export function jsonSchemaOf(kind: ResourceKind): object {
  return z.toJSONSchema(KINDS[kind], { io: 'input' });
}
