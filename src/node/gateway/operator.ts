/** Handles requests on the operators' port: settings, status and the service-level report. */

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

/** Dependencies of `OperatorHandler`. */
export interface OperatorHandlerOptions {
  readonly fleet: Fleet;
  readonly editor: SettingsEditor;
  readonly peerKey: string;
  readonly log: Logger;
  /** Returns the status of this gateway as JSON data. */
  readonly status: () => unknown;
}

const SETTINGS_PATH = '/v1/settings/';
/** Largest settings text, in bytes: the store's limit minus the envelope. */
const TEXT_LIMIT_BYTES = 900_000;
/** Timeout of a query to one process, in milliseconds. */
const QUERY_TIMEOUT_MS = 2000;
/** Longest wait until settings are in force on all VMs, in milliseconds. */
const IN_FORCE_TIMEOUT_MS = 10_000;
/** Interval between checks whether settings are in force, in milliseconds. */
const IN_FORCE_POLL_MS = 100;

/** Handles requests of operators. */
export class OperatorHandler {
  readonly #options: OperatorHandlerOptions;

  constructor(options: OperatorHandlerOptions) {
    this.#options = options;
  }

  /** Handles one request; failures are sent as an error response. */
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
    if (pathname.startsWith(SETTINGS_PATH)) await this.#handleSettings(req, res, url);
    else if (pathname === '/v1/status') await this.#sendStatus(req, res);
    else if (pathname === '/v1/burn') await this.#sendBurn(req, res);
    else {
      throw new Failure(
        'badRequest',
        `found ${req.method} ${pathname}, expected /v1/settings/…, /v1/status or /v1/burn`,
      );
    }
  }

  async #handleSettings(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
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
    const body = (await readBody(req, TEXT_LIMIT_BYTES)).toString();
    const revision = await editor.write(path, req.method === 'DELETE' ? null : body, expected);
    const missing = url.searchParams.has('wait')
      ? await this.#waitUntilInForce(splitPath(path).path, revision)
      : undefined;
    sendJson(res, 200, {
      path,
      revision,
      ...(missing ? { inForce: missing.length === 0, missing } : {}),
    });
  }

  /** Waits until the revision is in force on every live VM; returns the VMs where it is not after the timeout. */
  async #waitUntilInForce(path: string, revision: number): Promise<readonly string[]> {
    const deadlineAt = Date.now() + IN_FORCE_TIMEOUT_MS;
    let remaining = this.#liveVms();
    while (remaining.length > 0 && Date.now() < deadlineAt) {
      const answers = await Promise.all(remaining.map((vm) => this.#revisionAt(vm, path)));
      remaining = remaining.filter((_, i) => (answers[i] ?? 0) < revision);
      if (remaining.length > 0) {
        await pause(IN_FORCE_POLL_MS);
      }
    }
    return remaining;
  }

  #liveVms(): readonly string[] {
    return this.#options.fleet.members
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .map(({ vm }) => vm);
  }

  /** Returns the revision in force on a VM; 0 if it is unknown or does not respond. */
  async #revisionAt(vm: string, path: string): Promise<number> {
    const member = this.#options.fleet.members.find((known) => known.vm === vm);
    if (!member) return 0;
    try {
      return Number(
        await this.#options.fleet.callMember(
          member,
          'settings.revision',
          { path },
          QUERY_TIMEOUT_MS,
        ),
      );
    } catch {
      return 0;
    }
  }

  async #sendStatus(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { fleet, status } = this.#options;
    if (!fleet.settings.isOperator(tokenOf(req))) {
      throw new Failure('forbidden', 'the status requires an operator token');
    }
    const schedulers = await Promise.all(
      fleet.members.map(async (member) => {
        const { vm, state, draining, gateways } = member;
        const detail = await fleet
          .callMember(member, 'status', {}, QUERY_TIMEOUT_MS)
          .catch(() => null);
        return { vm, state, draining, gateways, detail };
      }),
    );
    sendJson(res, 200, { gateway: status(), schedulers });
  }

  async #sendBurn(req: IncomingMessage, res: ServerResponse): Promise<void> {
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

  /** Queries one gateway; undefined if it does not respond with a valid report. */
  async #burnAt(address: string): Promise<GatewayBurn | undefined> {
    try {
      const answer = await call({
        method: 'GET',
        url: `http://${address}/internal/burn`,
        headers: { authorization: `Bearer ${this.#options.peerKey}` },
        timeoutMs: QUERY_TIMEOUT_MS,
      });
      return answer.status === 200 ? gatewayBurnSchema.parse(JSON.parse(answer.body)) : undefined;
    } catch {
      return undefined;
    }
  }
}
