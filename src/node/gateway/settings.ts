/** Operators' reads and writes of settings, straight against the store. */

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

/** A document or a part of it, as read. */
export interface SettingsValue {
  readonly path: string;
  readonly revision: number;
  /** JSON with comments for a whole document, JSON for a part. */
  readonly text: string;
}

interface Current {
  readonly revision: number;
  readonly text: string | null;
  /** Index to compare with; 0 if the key does not exist. */
  readonly index: number;
}

/** Tries of a write whose answer was lost. */
const TRIES = 3;

/** Settings for operators. */
export class SettingsEditor {
  readonly #platform: Platform;

  readonly #settings: () => Settings;

  constructor(platform: Platform, settings: () => Settings) {
    this.#platform = platform;
    this.#settings = settings;
  }

  /** Throws `forbidden` unless the token covers the path. Another team's path looks the same whether it exists or not. */
  authorize(token: string, path: string): void {
    const settings = this.#settings();
    const { path: document } = splitPath(path);
    const team = settings.teamOf(token);
    const operator = settings.isOperator(token);
    if (team === undefined && !operator) {
      throw new Failure('unauthorized', 'found an unknown bearer token');
    }
    const covered = document === CONSORTIUM ? operator : document === `${TEAM_PREFIX}${team}`;
    if (!covered) throw new Failure('forbidden', `the token does not cover ${path}`);
  }

  async read(path: string): Promise<SettingsValue> {
    const { path: document, inside } = splitPath(path);
    const { revision, text } = await this.#current(document);
    if (text === null) throw new Failure('settingsNotFound', `there is no ${document}`);
    if (inside.length === 0) return { path, revision, text };
    return { path, revision, text: JSON.stringify(valueAt(text, inside, document), null, 2) };
  }

  /**
   * Writes a document or a part of it, if its revision still is `expected`.
   * Returns the new revision once the store has confirmed it.
   */
  async write(path: string, body: string | null, expected: number): Promise<number> {
    const { path: document, inside } = splitPath(path);
    const current = await this.#current(document);
    if (current.revision !== expected) {
      throw new Failure(
        'settingsConflict',
        `${document} is at revision ${current.revision}, expected ${expected}`,
      );
    }
    const text = newText(document, inside, current.text ?? '', body);
    if (text !== null) parseDocument(document, text);
    const envelope: Envelope = { revision: current.revision + 1, nonce: randomUUID(), text };
    return this.#store(document, envelope, current.index);
  }

  /**
   * What is in force counts, also when the store is older: a write based on the
   * store's older revision would get a number that everybody has passed, and be
   * ignored though it was accepted.
   */
  async #current(document: string): Promise<Current> {
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
   * An answer may be lost after the write took effect. Reading back and finding
   * our nonce tells so; finding the old index, the same write is tried again,
   * which the comparison with the index makes safe.
   */
  async #store(document: string, envelope: Envelope, index: number): Promise<number> {
    const key = SETTINGS_PREFIX + document;
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
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

function newText(
  document: string,
  inside: readonly string[],
  old: string,
  body: string | null,
): string | null {
  if (inside.length === 0) return body;
  const value = body === null ? undefined : parseJsonc(body, document);
  return editText(old, inside, value);
}
