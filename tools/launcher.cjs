/**
 * Starts the bundle beside this file with the compiled code of its role, which the build has laid beside it: compiling
 * anew costs more than half of a start. Code that does not fit this Node.js or its flags is passed over, and compiled.
 *
 * `ROLE` starts a role; `load ROLE` loads its modules, writes their compiled code and ends.
 */
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const { wrap } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const isLoadOnly = process.argv[2] === 'load';
const role = process.argv[isLoadOnly ? 3 : 2];
const bundle = join(__dirname, 'roles.cjs');
const compiled = join(__dirname, `${role}.compiled`);
const cachedData = !isLoadOnly && existsSync(compiled) ? readFileSync(compiled) : undefined;
// The bundle is ASCII: a byte a character.
const script = new Script(wrap(readFileSync(bundle, 'latin1')), { filename: bundle, cachedData });
if (isLoadOnly) process.on('exit', () => writeFileSync(compiled, script.createCachedData()));
script.runInThisContext()(exports, require, module, bundle, __dirname);
