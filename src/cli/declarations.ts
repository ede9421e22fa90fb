/** Reads resource declarations from a folder or file and compares them with the resources in force. */
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { type Resource, resource, resourceKey } from '../resources/schemas.js';
import { type DocumentProblem, formatProblem, readDocument } from '../settings/document.js';
import type { ResourceItem } from './entry-client.js';
import { CommandFailure, EXIT_USAGE } from './errors.js';

/** A declared resource and the file that declares it. */
export interface Declaration {
  file: string;
  key: string;
  value: Resource;
}

/** One change of a plan. */
export interface PlannedChange {
  action: 'create' | 'update' | 'delete' | 'keep';
  key: string;
  /** Revision that the resource must still have when the change is applied. */
  revision: number;
  value: Resource | undefined;
  /** Fields that differ, as `path: old -> new`. */
  differences: string[];
}

/** Reads every `.json` and `.jsonc` file below `path`, sorted by name. */
export function readDeclarations(path: string): Declaration[] {
  if (!existsSync(path)) throw new CommandFailure(`${path}:1: there is no such file or folder`, EXIT_USAGE);
  const declarations: Declaration[] = [];
  const problems: DocumentProblem[] = [];
  for (const file of declarationFiles(path)) {
    const read = readDocument(file, readFileSync(file, 'utf8'), resource);
    if (read.ok) declarations.push({ file, key: resourceKey(read.value), value: read.value });
    else problems.push(...read.problems);
  }
  problems.push(...duplicates(declarations));
  if (problems.length > 0) throw new CommandFailure(problems.map(formatProblem).join('\n'), EXIT_USAGE);
  return declarations;
}

/** Plans the changes from the resources in force to the declarations. With `prune`, undeclared resources are deleted. */
export function plan(
  declarations: readonly Declaration[],
  inForce: readonly ResourceItem[],
  prune: boolean,
): PlannedChange[] {
  const current = new Map(inForce.map((item) => [item.key, item]));
  const changes = declarations.map(({ key, value }): PlannedChange => {
    const item = current.get(key);
    if (item === undefined) return { action: 'create', key, revision: 0, value, differences: [] };
    const differences = differencesOf(item.value, value);
    const action = differences.length === 0 ? 'keep' : 'update';
    return { action, key, revision: item.revision, value, differences };
  });
  if (!prune) return changes;
  const declared = new Set(declarations.map((declaration) => declaration.key));
  const undeclared = inForce.filter((item) => !declared.has(item.key));
  const deletes = undeclared.map(({ key, revision }): PlannedChange => {
    return { action: 'delete', key, revision, value: undefined, differences: [] };
  });
  return [...changes, ...deletes];
}

/** Formats the plan as lines of text. */
export function formatPlan(changes: readonly PlannedChange[]): string {
  const signs = { create: '+', update: '~', delete: '-', keep: ' ' } as const;
  return changes
    .flatMap((change) => [
      `${signs[change.action]} ${change.key}`,
      ...change.differences.map((line) => `    ${line}`),
    ])
    .join('\n');
}

function declarationFiles(path: string): string[] {
  if (statSync(path).isFile()) return [path];
  const names = readdirSync(path, { recursive: true }) as string[];
  return names
    .filter((name) => /\.jsonc?$/.test(name))
    .sort()
    .map((name) => join(path, name));
}

function duplicates(declarations: readonly Declaration[]): DocumentProblem[] {
  const first = new Map<string, string>();
  return declarations.flatMap(({ key, file }) => {
    const earlier = first.get(key);
    first.set(key, earlier ?? file);
    if (earlier === undefined) return [];
    return [{ file, line: 1, field: 'metadata.name', message: `${key} is already declared in ${earlier}` }];
  });
}

function differencesOf(before: unknown, after: unknown, path = ''): string[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  if (!isObject(before) || !isObject(after))
    return [`${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`];
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return names.flatMap((name) =>
    differencesOf(before[name], after[name], path === '' ? name : `${path}.${name}`),
  );
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
