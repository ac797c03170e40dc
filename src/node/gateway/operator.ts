/** The operators' port: settings, status and the service-level report. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { Failure, toFailure } from '../../core/failure';
import { splitPath } from '../../core/settings/envelope';
import type { BurnReport, GatewayBurn } from '../../types/burn';
import { gatewayBurnSchema } from '../../types/burn';
import { call, readBody, sendFailure, sendJson } from '../../utils/http';
import { tokenOf } from './auth';
import { mergeBurn } from './burn';
import type { Fleet } from './fleet';
import type { SettingsEditor } from './settings';

/** What the operators' port works with. */
export interface OperatorHandlerOptions {
  readonly fleet: Fleet;
  readonly editor: SettingsEditor;
  readonly peerKey: string;
  readonly log: Logger;
  readonly status: () => unknown;
}

const SETTINGS_PATH = '/v1/settings/';
/** Largest settings text, in bytes: the store's limit less the envelope. */
const TEXT_LIMIT = 900_000;
/** Time limit of asking one process, in milliseconds. */
const ASK_LIMIT_MS = 2000;
/** Longest wait for settings to be in force everywhere, in milliseconds. */
const IN_FORCE_LIMIT_MS = 10_000;
/** Pause between looks, in milliseconds. */
const IN_FORCE_LOOK_MS = 100;

/** Answers operators. */
export class OperatorHandler {
  readonly #options: OperatorHandlerOptions;

  constructor(options: OperatorHandlerOptions) {
    this.#options = options;
  }

  async handle(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    try {
      await this.#route(req, res, url);
    } catch (error) {
      const failure = toFailure(error);
      if (failure.codeName === 'internal') this.#options.log.error(failure.line);
      sendFailure(res, failure);
    }
  }

  async #route(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const { pathname } = url;
    if (pathname.startsWith(SETTINGS_PATH)) await this.#settings(req, res, url);
    else if (pathname === '/v1/status') await this.#status(req, res);
    else if (pathname === '/v1/burn') await this.#burn(req, res);
    else {
      throw new Failure(
        'badRequest',
        `found ${req.method} ${pathname}, expected /v1/settings/…, /v1/status or /v1/burn`,
      );
    }
  }

  async #settings(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const { editor } = this.#options;
    const path = decodeURIComponent(url.pathname.slice(SETTINGS_PATH.length));
    editor.authorize(tokenOf(req), path);
    if (req.method === 'GET') {
      sendJson(res, 200, await editor.read(path));
      return;
    }
    if (req.method !== 'PUT' && req.method !== 'DELETE') {
      throw new Failure('badRequest', `found ${req.method}, expected GET, PUT or DELETE`);
    }
    const expected = Number(req.headers['if-match'] ?? NaN);
    if (!Number.isInteger(expected)) {
      throw new Failure(
        'badRequest',
        'found no If-Match header, expected the revision that was read',
      );
    }
    const body = (await readBody(req, TEXT_LIMIT)).toString();
    const revision = await editor.write(path, req.method === 'DELETE' ? null : body, expected);
    const missing = url.searchParams.has('wait')
      ? await this.#missing(splitPath(path).path, revision)
      : undefined;
    sendJson(res, 200, {
      path,
      revision,
      ...(missing ? { inForce: missing.length === 0, missing } : {}),
    });
  }

  /** Waits until every live VM has the revision in force; returns those that do not in time. */
  async #missing(path: string, revision: number): Promise<readonly string[]> {
    const until = Date.now() + IN_FORCE_LIMIT_MS;
    let left = this.#live();
    while (left.length > 0 && Date.now() < until) {
      const answers = await Promise.all(left.map((vm) => this.#revisionAt(vm, path)));
      left = left.filter((_, i) => (answers[i] ?? 0) < revision);
      if (left.length > 0) {
        await pause(IN_FORCE_LOOK_MS);
      }
    }
    return left;
  }

  #live(): readonly string[] {
    return this.#options.fleet.members
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .map(({ vm }) => vm);
  }

  async #revisionAt(vm: string, path: string): Promise<number> {
    const member = this.#options.fleet.members.find((known) => known.vm === vm);
    if (!member) return 0;
    try {
      return Number(
        await this.#options.fleet.callMember(member, 'settings.revision', { path }, ASK_LIMIT_MS),
      );
    } catch {
      return 0;
    }
  }

  async #status(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { fleet, status } = this.#options;
    if (!fleet.settings.isOperator(tokenOf(req))) {
      throw new Failure('forbidden', 'the status needs an operator token');
    }
    const schedulers = await Promise.all(
      fleet.members.map(async (member) => {
        const { vm, state, draining, gateways } = member;
        const detail = await fleet.callMember(member, 'status', {}, ASK_LIMIT_MS).catch(() => null);
        return { vm, state, draining, gateways, detail };
      }),
    );
    sendJson(res, 200, { gateway: status(), schedulers });
  }

  async #burn(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { fleet } = this.#options;
    const token = tokenOf(req);
    const team = fleet.settings.teamOf(token);
    if (team === undefined && !fleet.settings.isOperator(token)) {
      throw new Failure('unauthorized', 'found an unknown bearer token');
    }
    sendJson(res, 200, await this.#collectBurn(team));
  }

  async #collectBurn(team: string | undefined): Promise<BurnReport> {
    const { fleet } = this.#options;
    const addresses = fleet.members
      .filter(({ state }) => state !== 'dead' && state !== 'left')
      .flatMap(({ gateways }) => gateways);
    const parts = await Promise.all(
      addresses.map(async (address): Promise<[string, GatewayBurn | undefined]> => [
        address,
        await this.#burnAt(address),
      ]),
    );
    return mergeBurn(new Map(parts), fleet.settings, team);
  }

  async #burnAt(address: string): Promise<GatewayBurn | undefined> {
    try {
      const answer = await call({
        method: 'GET',
        url: `http://${address}/internal/burn`,
        headers: { authorization: `Bearer ${this.#options.peerKey}` },
        timeoutMs: ASK_LIMIT_MS,
      });
      return answer.status === 200 ? gatewayBurnSchema.parse(JSON.parse(answer.body)) : undefined;
    } catch {
      return undefined;
    }
  }
}
