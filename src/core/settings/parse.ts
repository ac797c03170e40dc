/** Reads settings texts: JSON with comments, checked against a schema, with errors that name the place. */

import type { ParseError } from 'jsonc-parser';
import { parse, printParseErrorCode } from 'jsonc-parser';
import type { z } from 'zod';

import { Failure } from '../failure';
import type { Consortium, TeamDocument } from './schema';
import { consortiumSchema, teamDocumentSchema } from './schema';

/** Path of the consortium's document. */
export const CONSORTIUM = 'consortium';
/** Paths of teams' documents start with this. */
export const TEAM_PREFIX = 'teams/';

function position(text: string, offset: number): string {
  const lines = text.slice(0, offset).split('\n');
  return `line ${lines.length}, column ${(lines.at(-1) ?? '').length + 1}`;
}

/** Parses JSON with comments. */
export function parseJsonc(text: string, source: string): unknown {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  const [first] = errors;
  if (first) {
    const what = printParseErrorCode(first.error);
    throw new Failure(
      'fileMalformed',
      `${source}: found ${what} at ${position(text, first.offset)}, expected JSON with comments`,
    );
  }
  return value;
}

/** Checks a parsed value against a schema and fills in defaults. */
export function validate<T>(schema: z.ZodType<T>, value: unknown, source: string): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const path = issue && issue.path.length > 0 ? issue.path.join('.') : 'the whole text';
  throw new Failure(
    'settingsInvalid',
    `${source}: at ${path}: ${issue?.message ?? 'does not fit'}`,
  );
}

/** A checked document of either kind. */
export type SettingsDocument =
  | { readonly kind: 'consortium'; readonly value: Consortium }
  | { readonly kind: 'team'; readonly team: string; readonly value: TeamDocument };

/** Checks the text of the document at a path. */
export function parseDocument(path: string, text: string): SettingsDocument {
  const value = parseJsonc(text, path);
  if (path === CONSORTIUM) {
    return { kind: 'consortium', value: validate(consortiumSchema, value, path) };
  }
  if (path.startsWith(TEAM_PREFIX)) {
    return {
      kind: 'team',
      team: path.slice(TEAM_PREFIX.length),
      value: validate(teamDocumentSchema, value, path),
    };
  }
  throw new Failure('settingsNotFound', `${path}: expected ${CONSORTIUM} or ${TEAM_PREFIX}NAME`);
}
