/** The two users of today, as the demonstration builds them: places, services and their sizes. */

import { OriginWeights } from '../../emulator/platform/weights.js';
import {
  API_VERSION,
  type ModelDeployment,
  type Resource,
  type Service,
} from '../../src/resources/schemas.js';
import type { PlatformEmulatorSettings } from '../../src/settings/schemas.js';
import { DEFAULT_TENANT_LIMITS } from '../../src/systems/admission.js';
import type { AgentPlan, EntryPlan } from '../processes/cluster.js';

const MEBIBYTE = 2 ** 20;

/** A user's system. */
export interface DemoUser {
  name: string;
  places: string[];
  entries: EntryPlan[];
  agents: AgentPlan[];
  versions: PlatformEmulatorSettings['origin']['versions'];
  deployment: ModelDeployment;
  services: Service[];
}

/** What differs between the users. */
interface UserPlan {
  name: string;
  places: string[];
  entries: number;
  model: string;
  services: Array<{ name: string; workers: number; repeatable: string[] }>;
  objective: 'fastest' | 'leastOriginBytes';
  seed: number;
}

const MODEL_WORKERS = 8;

/** Ampervilla: three halls in the Baltics; drivers wait, so time weighs most. */
export function ampervilla(): DemoUser {
  return createUser({
    name: 'ampervilla',
    places: ['riga', 'vilnius', 'tallinn'],
    entries: 7,
    model: 'assistant',
    services: [
      { name: 'session-control', workers: 3, repeatable: ['/sessions'] },
      { name: 'billing', workers: 1, repeatable: [] },
    ],
    objective: 'fastest',
    seed: 11,
  });
}

/** The co-operative: three data centres in South Africa; links are costly, so origin bytes weigh most. */
export function cooperative(): DemoUser {
  return createUser({
    name: 'cooperative',
    places: ['highveld', 'cape-south', 'natal-coast'],
    entries: 6,
    model: 'address',
    services: [
      { name: 'urgent-confirmations', workers: 3, repeatable: [] },
      { name: 'billing-lookup', workers: 1, repeatable: [] },
    ],
    objective: 'leastOriginBytes',
    seed: 22,
  });
}

function createUser(plan: UserPlan): DemoUser {
  const location = (index: number) => {
    const place = plan.places[index % plan.places.length];
    return { place, region: place, zone: `${place}-a` };
  };
  const versions = [
    {
      label: 'first',
      bytes: 24 * MEBIBYTE,
      chunkBytes: 128 * 1024,
      seed: plan.seed,
      unchangedShare: 1,
      changedSeed: 0,
    },
  ];
  const engines = Array.from({ length: MODEL_WORKERS }, (_, index) => {
    return { name: `engine-${index}`, pool: 'accelerators', ...location(index) };
  });
  const workers = plan.services.flatMap(({ name, workers }) =>
    Array.from({ length: workers }, (_, index) => ({
      name: `${name}-${index}`,
      service: name,
      ...location(index),
    })),
  );
  return {
    name: plan.name,
    places: plan.places,
    entries: Array.from({ length: plan.entries }, (_, index) => ({
      name: `entry-${index}`,
      ...location(index),
    })),
    agents: [...engines, ...workers],
    versions,
    deployment: {
      apiVersion: API_VERSION,
      kind: 'ModelDeployment',
      metadata: { name: plan.model },
      spec: {
        tenant: plan.name,
        model: plan.model,
        version: new OriginWeights(versions).versions[0].version,
        pool: 'accelerators',
        places: plan.places,
        replicas: MODEL_WORKERS,
        priority: 10,
        objective: plan.objective,
      },
    },
    services: plan.services.map(({ name, repeatable }) => ({
      apiVersion: API_VERSION,
      kind: 'Service',
      metadata: { name },
      spec: { tenant: plan.name, places: plan.places, priority: 0, repeatable },
    })),
  };
}

const tenantSpec = { title: '', limits: DEFAULT_TENANT_LIMITS };

/** Everything that a user declares. */
export function declarationsOf(user: DemoUser): Resource[] {
  const tenant = {
    apiVersion: API_VERSION,
    kind: 'Tenant',
    metadata: { name: user.name },
    spec: tenantSpec,
  } as const;
  return [tenant, user.deployment, ...user.services];
}
