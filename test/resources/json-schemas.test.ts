import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { jsonSchemaOf, RESOURCE_KINDS } from '../../src/resources/json-schemas.js';

describe('the committed JSON Schemas', () => {
  it.each(RESOURCE_KINDS)('match the schema definition of %s (regenerate with npm run schemas)', (kind) => {
    const committed = JSON.parse(readFileSync(`schemas/${kind}.schema.json`, 'utf8'));
    expect(committed).toEqual(JSON.parse(JSON.stringify(jsonSchemaOf(kind))));
  });
});
