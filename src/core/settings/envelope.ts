/** Storage format and editing of settings documents. */

import { applyEdits, modify } from 'jsonc-parser';
import { z } from 'zod';

import { Failure } from '../failure';
import type { StoredDocument } from './documents';
import { CONSORTIUM, TEAM_PREFIX, parseJsonc } from './parse';

/** Prefix of the keys of settings documents in the store. */
export const SETTINGS_PREFIX = 'settings/';

const envelopeSchema = z.object({
  revision: z.int().positive(),
  /** Identifies the write, so that its writer can determine whether it took effect when the answer was lost. */
  nonce: z.string(),
  text: z.string().nullable(),
});

/** A document as it is stored. */
export type Envelope = Readonly<z.infer<typeof envelopeSchema>>;

/** Parses a stored value; undefined if it is not an envelope. */
export function parseEnvelope(value: string): Envelope | undefined {
  try {
    return envelopeSchema.parse(JSON.parse(value));
  } catch {
    return undefined;
  }
}

/** Converts the envelope stored under a key to its document. */
export function toDocument(key: string, envelope: Envelope): StoredDocument {
  return {
    path: key.slice(SETTINGS_PREFIX.length),
    revision: envelope.revision,
    text: envelope.text,
  };
}

/** An operator's path, split into the path of a document and the keys inside the document. */
export interface DocumentTarget {
  readonly path: string;
  readonly inside: readonly string[];
}

/** Splits an operator's path: `teams/dosel/services/tiles` is `services.tiles` in `teams/dosel`. Throws `settingsNotFound` if it does not start with a document's path. */
export function splitPath(path: string): DocumentTarget {
  const parts = path.split('/').filter((part) => part !== '');
  const length = parts[0] === CONSORTIUM ? 1 : 2;
  const document = parts.slice(0, length).join('/');
  const isDocument =
    document === CONSORTIUM || (document.startsWith(TEAM_PREFIX) && parts.length >= 2);
  if (!isDocument) {
    throw new Failure(
      'settingsNotFound',
      `found '${path}', expected ${CONSORTIUM}/… or ${TEAM_PREFIX}NAME/…`,
    );
  }
  return { path: document, inside: parts.slice(length) };
}

/** Sets the value at the keys `inside` in a document's text and keeps its comments. An undefined value removes the key. */
export function editText(text: string, inside: readonly string[], value: unknown): string {
  const edits = modify(text === '' ? '{}' : text, [...inside], value, {
    formattingOptions: { tabSize: 2, insertSpaces: true },
  });
  return applyEdits(text === '' ? '{}' : text, edits);
}

/** Returns the value at the keys `inside` in a document's text. Throws `settingsNotFound` if there is none, `fileMalformed` if the text cannot be parsed. */
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
