/**
 * Reads JSON with comments and validates it against a schema. Every problem names the file, the line and the field.
 *
 * @example
 * ```ts
 * const loaded = readDocument('entry.jsonc', text, entrySettings);
 * if (!loaded.ok) report(loaded.problems);
 * ```
 */
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import type { ZodType } from 'zod';

/** A syntax or validation error in a file. */
export interface DocumentProblem {
  file: string;
  /** Line, counted from 1. */
  line: number;
  /** Dotted path of the field; empty for the whole document. */
  field: string;
  message: string;
}

/** The result of reading a document. */
export type DocumentResult<T> = { ok: true; value: T } | { ok: false; problems: DocumentProblem[] };

/** Parses `text` and validates it against `schema`. */
export function readDocument<T>(file: string, text: string, schema: ZodType<T>): DocumentResult<T> {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || root === undefined)
    return { ok: false, problems: syntaxProblems(file, text, errors) };
  const checked = schema.safeParse(getNodeValue(root));
  if (checked.success) return { ok: true, value: checked.data };
  const problems = checked.error.issues.map((issue) => ({
    file,
    line: lineAt(text, nearestNode(root, issue.path).offset),
    field: issue.path.map(String).join('.'),
    message: issue.message,
  }));
  return { ok: false, problems };
}

/** Formats a problem as `file:line: field: message`. */
export function formatProblem(problem: DocumentProblem): string {
  const field = problem.field === '' ? '' : ` ${problem.field}:`;
  return `${problem.file}:${problem.line}:${field} ${problem.message}`;
}

function syntaxProblems(file: string, text: string, errors: ParseError[]): DocumentProblem[] {
  if (errors.length === 0) return [{ file, line: 1, field: '', message: 'the file is empty' }];
  return errors.map((error) => ({
    file,
    line: lineAt(text, error.offset),
    field: '',
    message: `not valid JSON with comments: ${printParseErrorCode(error.error)}`,
  }));
}

function nearestNode(root: Node, path: ReadonlyArray<PropertyKey>): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length) as Array<string | number>);
    if (node !== undefined) return node;
  }
  return root;
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
