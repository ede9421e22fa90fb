/** Writes the JSON Schemas of the resources into `schemas/`, as the built bundle prints them. */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';

mkdirSync('schemas', { recursive: true });
for (const kind of ['ModelDeployment', 'Service', 'Tenant']) {
  const schema = execFileSync(process.execPath, ['dist/thistleway.cjs', 'schema', kind], {
    encoding: 'utf8',
  });
  writeFileSync(`schemas/${kind}.schema.json`, schema);
}
