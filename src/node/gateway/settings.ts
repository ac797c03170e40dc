/** Reads and writes of settings by operators, directly against the store. */

import { randomUUID } from 'node:crypto';

import { Failure } from '../../core/failure';
import type { Settings } from '../../core/settings/documents';
import type { Envelope } from '../../core/settings/envelope';
import {
  SETTINGS_PREFIX,
  editText,
  parseEnvelope,
  splitPath,
  valueAt,
} from '../../core/settings/envelope';
import { CONSORTIUM, TEAM_PREFIX, parseDocument, parseJsonc } from '../../core/settings/parse';
import type { Platform } from '../platform/client';

/** A settings document or a part of it. */
export interface SettingsValue {
  readonly path: string;
  readonly revision: number;
  /** JSON with comments for a whole document, JSON for a part. */
  readonly text: string;
}

/** The current state of a document; `text` is null if it does not exist. */
interface DocumentState {
  readonly revision: number;
  readonly text: string | null;
  /** Index of the key for compare-and-swap; 0 if the key does not exist. */
  readonly index: number;
}

/** Maximum number of attempts of a write whose response was lost. */
const MAX_WRITE_ATTEMPTS = 3;

/** Checks access to settings documents, reads and writes them. */
export class SettingsEditor {
  readonly #platform: Platform;

  readonly #settings: () => Settings;

  constructor(platform: Platform, settings: () => Settings) {
    this.#platform = platform;
    this.#settings = settings;
  }

  /**
   * Throws `unauthorized` for an unknown token and `forbidden` if the token does not
   * cover the path. The error does not reveal whether another team's path exists.
   */
  authorize(token: string, path: string): void {
    const settings = this.#settings();
    const { path: document } = splitPath(path);
    const team = settings.teamOf(token);
    const operator = settings.isOperator(token);
    if (team === undefined && !operator) {
      throw new Failure('unauthorized', 'found an unknown bearer token');
    }
    const isCovered = document === CONSORTIUM ? operator : document === `${TEAM_PREFIX}${team}`;
    if (!isCovered) throw new Failure('forbidden', `the token does not cover ${path}`);
  }

  /** Reads a document or a part of it; throws `settingsNotFound` if there is no such document. */
  async read(path: string): Promise<SettingsValue> {
    const { path: document, inside } = splitPath(path);
    const { revision, text } = await this.#readState(document);
    if (text === null) throw new Failure('settingsNotFound', `there is no ${document}`);
    if (inside.length === 0) return { path, revision, text };
    return { path, revision, text: JSON.stringify(valueAt(text, inside, document), null, 2) };
  }

  /**
   * Writes a document or a part of it if its revision is still `expected`; a null
   * body deletes. Returns the new revision once the store has confirmed it. Throws
   * `settingsConflict` if the revision differs, and `settingsUnconfirmed` if the
   * store does not confirm the write.
   */
  async write(path: string, body: string | null, expected: number): Promise<number> {
    const { path: document, inside } = splitPath(path);
    const current = await this.#readState(document);
    if (current.revision !== expected) {
      throw new Failure(
        'settingsConflict',
        `${document} is at revision ${current.revision}, expected ${expected}`,
      );
    }
    const text = applyEdit(document, inside, current.text ?? '', body);
    if (text !== null) parseDocument(document, text);
    const envelope: Envelope = { revision: current.revision + 1, nonce: randomUUID(), text };
    return this.#writeEnvelope(document, envelope, current.index);
  }

  /**
   * The settings in force take precedence over an older state of the store. A write
   * based on the store's older revision would get a revision number that all processes
   * have already passed, and would be ignored although it was accepted.
   */
  async #readState(document: string): Promise<DocumentState> {
    const stored = await this.#platform.read(SETTINGS_PREFIX + document);
    const index = stored?.index ?? 0;
    const envelope = stored ? parseEnvelope(stored.value) : undefined;
    const inForce = this.#settings().document(document);
    if (inForce && inForce.revision > (envelope?.revision ?? 0)) {
      return { revision: inForce.revision, text: inForce.text, index };
    }
    return { revision: envelope?.revision ?? 0, text: envelope?.text ?? null, index };
  }

  /**
   * The response may be lost after the write took effect. The key is then read back:
   * if it contains the nonce of this write, the write succeeded. If it still has the
   * old index, the write is repeated, which is safe because it compares the index.
   */
  async #writeEnvelope(document: string, envelope: Envelope, index: number): Promise<number> {
    const key = SETTINGS_PREFIX + document;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      const outcome = await this.#platform.write(key, JSON.stringify(envelope), index);
      if (outcome === 'written') return envelope.revision;
      const stored = await this.#platform.read(key).catch(() => undefined);
      const found = stored ? parseEnvelope(stored.value) : undefined;
      if (found?.nonce === envelope.nonce) return envelope.revision;
      if (stored && stored.index !== index) {
        throw new Failure(
          'settingsConflict',
          `${document} is at revision ${found?.revision ?? 0} now; another write came first`,
        );
      }
    }
    throw new Failure(
      'settingsUnconfirmed',
      `the store did not confirm revision ${envelope.revision} of ${document}`,
    );
  }
}

/** Returns the new text of a document; null deletes it. */
function applyEdit(
  document: string,
  inside: readonly string[],
  old: string,
  body: string | null,
): string | null {
  if (inside.length === 0) return body;
  const value = body === null ? undefined : parseJsonc(body, document);
  return editText(old, inside, value);
}
