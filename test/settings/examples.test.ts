import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import type { ZodType } from 'zod';
import { ampervilla, cooperative, declarationsOf } from '../../bench/demo/users.js';
import { OriginWeights } from '../../emulator/platform/weights.js';
import { readDeclarations } from '../../src/cli/declarations.js';
import { readDocument } from '../../src/settings/document.js';
import {
  agentSettings,
  engineEmulatorSettings,
  entrySettings,
  platformEmulatorSettings,
} from '../../src/settings/schemas.js';

describe('the examples', () => {
  it.each([ampervilla(), cooperative()])('declare the same resources as the demo for $name', (user) => {
    const declared = readDeclarations(`examples/${user.name}`).map(({ value }) => value);
    const byName = (a: object, b: object) => (JSON.stringify(a) < JSON.stringify(b) ? -1 : 1);
    expect(declared.sort(byName)).toEqual(declarationsOf(user).sort(byName));
  });

  it.each<[string, ZodType]>([
    ['platform', platformEmulatorSettings],
    ['entry', entrySettings],
    ['agent', agentSettings],
    ['engine', engineEmulatorSettings],
  ])('contain valid settings for %s', (name, schema) => {
    const file = `examples/${name}.jsonc`;
    expect(readDocument(file, readFileSync(file, 'utf8'), schema)).toMatchObject({ ok: true });
  });

  it('refer to versions that the platform emulator serves', () => {
    const read = readDocument('p', readFileSync('examples/platform.jsonc', 'utf8'), platformEmulatorSettings);
    if (!read.ok) throw new Error('examples/platform.jsonc is not valid');
    const versions = new OriginWeights(read.value.origin.versions).versions.map(({ version }) => version);
    const declared = [ampervilla(), cooperative()].map(({ deployment }) => deployment.spec.version);
    expect(versions).toEqual(declared);
  });
});
