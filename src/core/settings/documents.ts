/**
 * Settings documents in force in this process, each at its highest known revision. A
 * lower revision never replaces a higher one, regardless of its source.
 */

import { createHash } from 'node:crypto';

import { toFailure } from '../failure';
import type { SettingsDocument } from './parse';
import { CONSORTIUM, TEAM_PREFIX, parseDocument } from './parse';
import type { Consortium, Pool, Service, TeamDocument } from './schema';

/** A document as it is stored and sent between processes. */
export interface StoredDocument {
  readonly path: string;
  /** Incremented by each write. */
  readonly revision: number;
  /** JSON with comments; null if the document was deleted. */
  readonly text: string | null;
}

/** Result of applying a document. */
export type ApplyResult =
  | { readonly kind: 'applied' }
  | { readonly kind: 'known' }
  /** It is older than the revision in force: the store lost writes, or the message was delayed. */
  | { readonly kind: 'older'; readonly inForce: number }
  /** It does not match the schema; the last valid revision stays in force. */
  | { readonly kind: 'malformed'; readonly detail: string };

/** Read-only view of the settings in force. Documents, teams, services and pools that are not configured are undefined. */
export interface Settings {
  readonly consortium: Consortium | undefined;
  /** Hash of the paths and revisions in force; equal digests mean equal documents. */
  readonly digest: string;
  /** Revision of a document in force; 0 if there is none. */
  revisionOf(path: string): number;
  document(path: string): StoredDocument | undefined;
  team(name: string): TeamDocument | undefined;
  /** A team's service; undefined also if the team may not use its pool. */
  service(team: string, name: string): Service | undefined;
  pool(name: string): Pool | undefined;
  /** Team to which a token belongs; undefined if the token is unknown. */
  teamOf(token: string): string | undefined;
  /** Whether a token may write the consortium's document. */
  isOperator(token: string): boolean;
  /** Documents that are missing in `known` or have an older revision there. */
  newerThan(known: Readonly<Record<string, number>>): readonly StoredDocument[];
  /** Revisions in force by path. */
  readonly revisions: Readonly<Record<string, number>>;
}

/** SHA-256 of a token in hexadecimal, as configured in the settings. */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

/** Holds the settings in force. Only the settings controller modifies it. */
export class SettingsDocuments implements Settings {
  readonly #stored = new Map<string, StoredDocument>();

  /** Highest revision seen of each document, including malformed ones, so that these are not parsed again. */
  readonly #seen = new Map<string, number>();

  readonly #teams = new Map<string, TeamDocument>();

  readonly #teamByHash = new Map<string, string>();

  #consortium: Consortium | undefined;

  #digest: string | undefined;

  get consortium(): Consortium | undefined {
    return this.#consortium;
  }

  get digest(): string {
    this.#digest ??= this.#computeDigest();
    return this.#digest;
  }

  get revisions(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#stored.values()].map(({ path, revision }) => [path, revision]),
    );
  }

  revisionOf(path: string): number {
    return this.#stored.get(path)?.revision ?? 0;
  }

  document(path: string): StoredDocument | undefined {
    return this.#stored.get(path);
  }

  team(name: string): TeamDocument | undefined {
    return this.#teams.get(name);
  }

  service(team: string, name: string): Service | undefined {
    const services = this.#teams.get(team)?.services;
    const service = services && Object.hasOwn(services, name) ? services[name] : undefined;
    // A team can name any pool in its settings; the consortium's document determines which teams may use a pool.
    const allowed = service && this.pool(service.pool)?.teams.includes(team);
    return allowed ? service : undefined;
  }

  pool(name: string): Pool | undefined {
    const pools = this.#consortium?.pools;
    return pools && Object.hasOwn(pools, name) ? pools[name] : undefined;
  }

  teamOf(token: string): string | undefined {
    return this.#teamByHash.get(hashToken(token));
  }

  isOperator(token: string): boolean {
    return this.#consortium?.operators.includes(hashToken(token)) ?? false;
  }

  newerThan(known: Readonly<Record<string, number>>): readonly StoredDocument[] {
    return [...this.#stored.values()].filter(({ path, revision }) => revision > (known[path] ?? 0));
  }

  /** Puts a document in force if it is newer than the known revision and valid. */
  apply(offered: StoredDocument): ApplyResult {
    const inForce = this.revisionOf(offered.path);
    if (offered.revision < inForce) return { kind: 'older', inForce };
    if (offered.revision <= Math.max(inForce, this.#seen.get(offered.path) ?? 0)) {
      return { kind: 'known' };
    }
    this.#seen.set(offered.path, offered.revision);
    try {
      this.#activate(offered);
    } catch (error) {
      return { kind: 'malformed', detail: toFailure(error).line };
    }
    this.#stored.set(offered.path, offered);
    this.#digest = undefined;
    return { kind: 'applied' };
  }

  #activate({ path, text }: StoredDocument): void {
    if (text === null) {
      this.#remove(path);
      return;
    }
    const document: SettingsDocument = parseDocument(path, text);
    if (document.kind === 'team') {
      this.#teams.set(document.team, document.value);
      return;
    }
    this.#consortium = document.value;
    this.#teamByHash.clear();
    for (const [team, { tokens }] of Object.entries(document.value.teams)) {
      for (const token of tokens) this.#teamByHash.set(token, team);
    }
  }

  #remove(path: string): void {
    if (path.startsWith(TEAM_PREFIX)) this.#teams.delete(path.slice(TEAM_PREFIX.length));
    if (path === CONSORTIUM) this.#consortium = undefined;
  }

  #computeDigest(): string {
    const lines = [...this.#stored.values()]
      .map(({ path, revision }) => `${path}=${revision}`)
      .sort();
    return createHash('sha1').update(lines.join('\n')).digest('base64').slice(0, 12);
  }
}
