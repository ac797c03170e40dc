/** How a settings document is stored under its key, and how an edit of it is made. */

import { applyEdits, modify } from 'jsonc-parser';
import { z } from 'zod';

import { Failure } from '../failure';
import type { StoredDocument } from './documents';
import { CONSORTIUM, TEAM_PREFIX, parseJsonc } from './parse';

/** Keys of settings documents start with this. */
export const SETTINGS_PREFIX = 'settings/';

const envelopeSchema = z.object({
  revision: z.int().positive(),
  /** Names the write, so that its writer can tell whether it took effect when the answer was lost. */
  nonce: z.string(),
  text: z.string().nullable(),
});

/** A document as it is stored. */
export type Envelope = Readonly<z.infer<typeof envelopeSchema>>;

/** Reads a stored value; undefined if somebody wrote something else under the key. */
export function parseEnvelope(value: string): Envelope | undefined {
  try {
    return envelopeSchema.parse(JSON.parse(value));
  } catch {
    return undefined;
  }
}

/** The document in a stored value. */
export function toDocument(key: string, envelope: Envelope): StoredDocument {
  return {
    path: key.slice(SETTINGS_PREFIX.length),
    revision: envelope.revision,
    text: envelope.text,
  };
}

/** A path split into its document and the place inside it. */
export interface DocumentTarget {
  readonly path: string;
  readonly inside: readonly string[];
}

/** Splits an operator's path: `teams/dosel/services/tiles` is `services.tiles` in `teams/dosel`. */
export function splitPath(path: string): DocumentTarget {
  const parts = path.split('/').filter((part) => part !== '');
  const length = parts[0] === CONSORTIUM ? 1 : 2;
  const document = parts.slice(0, length).join('/');
  const known = document === CONSORTIUM || (document.startsWith(TEAM_PREFIX) && parts.length >= 2);
  if (!known) {
    throw new Failure(
      'settingsNotFound',
      `found '${path}', expected ${CONSORTIUM}/… or ${TEAM_PREFIX}NAME/…`,
    );
  }
  return { path: document, inside: parts.slice(length) };
}

/** Puts a value at a place inside a document and keeps the comments around it. */
export function editText(text: string, inside: readonly string[], value: unknown): string {
  const edits = modify(text === '' ? '{}' : text, [...inside], value, {
    formattingOptions: { tabSize: 2, insertSpaces: true },
  });
  return applyEdits(text === '' ? '{}' : text, edits);
}

/** The value at a place inside a document. */
export function valueAt(text: string, inside: readonly string[], source: string): unknown {
  return inside.reduce(
    (value: unknown, part) => {
      if (typeof value === 'object' && value !== null && Object.hasOwn(value, part)) {
        return (value as Record<string, unknown>)[part];
      }
      throw new Failure('settingsNotFound', `${source}: there is no '${part}'`);
    },
    parseJsonc(text, source),
  );
}
