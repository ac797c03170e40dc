/**
 * The settings in force on this process: every document by its highest revision.
 * A lower revision never replaces a higher one, wherever it comes from.
 */

import { createHash } from 'node:crypto';

import { toFailure } from '../failure';
import type { SettingsDocument } from './parse';
import { CONSORTIUM, TEAM_PREFIX, parseDocument } from './parse';
import type { Consortium, Pool, Service, TeamDocument } from './schema';

/** A document as it is stored and passed on. */
export interface StoredDocument {
  readonly path: string;
  /** Grows by one with each write. */
  readonly revision: number;
  /** JSON with comments, or null once deleted. */
  readonly text: string | null;
}

/** What became of a document that was offered. */
export type ApplyResult =
  | { readonly kind: 'applied' }
  | { readonly kind: 'known' }
  /** It is older than what is in force: a store that lost writes, or a late message. */
  | { readonly kind: 'older'; readonly inForce: number }
  /** It does not fit the schema: the last good one stays in force. */
  | { readonly kind: 'malformed'; readonly detail: string };

/** Read-only view of the settings. */
export interface Settings {
  readonly consortium: Consortium | undefined;
  /** Equal digests mean equal documents in force. */
  readonly digest: string;
  revisionOf(path: string): number;
  document(path: string): StoredDocument | undefined;
  team(name: string): TeamDocument | undefined;
  service(team: string, name: string): Service | undefined;
  pool(name: string): Pool | undefined;
  /** Team to which a token belongs. */
  teamOf(token: string): string | undefined;
  isOperator(token: string): boolean;
  /** Documents of which `known` has an older revision or none. */
  newerThan(known: Readonly<Record<string, number>>): readonly StoredDocument[];
  readonly revisions: Readonly<Record<string, number>>;
}

/** SHA-256 of a token, as it stands in settings. */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

/** The settings themselves; only their controller writes to them. */
export class SettingsDocuments implements Settings {
  readonly #stored = new Map<string, StoredDocument>();

  /** Highest revision seen, malformed ones included, so that they are not parsed again. */
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
    // A team may write any pool's name into its settings; the consortium says who may use it.
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

  /** Puts a document in force if it is newer and well-formed. */
  apply(offered: StoredDocument): ApplyResult {
    const inForce = this.revisionOf(offered.path);
    if (offered.revision < inForce) return { kind: 'older', inForce };
    if (offered.revision <= Math.max(inForce, this.#seen.get(offered.path) ?? 0)) {
      return { kind: 'known' };
    }
    this.#seen.set(offered.path, offered.revision);
    try {
      this.#install(offered);
    } catch (error) {
      return { kind: 'malformed', detail: toFailure(error).line };
    }
    this.#stored.set(offered.path, offered);
    this.#digest = undefined;
    return { kind: 'applied' };
  }

  #install({ path, text }: StoredDocument): void {
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
