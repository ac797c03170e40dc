/** The callers' port: routes requests to their handlers. */

import { timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Logger } from 'pino';

import { Failure, toFailure } from '../../core/failure';
import { hashToken } from '../../core/settings/documents';
import { readBody, sendFailure, sendJson } from '../../utils/http';
import { teamOf, tokenOf } from './auth';
import type { BurnRecorder } from './burn';
import type { Fleet } from './fleet';
import type { ModelHandler } from './model';
import type { PlainHandler } from './plain';
import { RELAY_PATH } from './relay';
import { EventSink } from './sink';

/** What the callers' port works with. */
export interface CallerHandlerOptions {
  readonly fleet: Fleet;
  readonly models: ModelHandler;
  readonly plain: PlainHandler;
  readonly burn: BurnRecorder;
  readonly peerKey: string;
  readonly addressTtlMs: number;
  readonly log: Logger;
  /** Whether the gateway takes new requests; `leaving` once given addresses have lapsed. */
  readonly phase: () => 'open' | 'draining' | 'leaving';
}

const SERVICES_PATH = '/services/';
const HOLDS_LIMIT_BYTES = 1024;

/** Answers callers, and other processes of the fleet under `/internal/`. */
export class CallerHandler {
  readonly #options: CallerHandlerOptions;

  constructor(options: CallerHandlerOptions) {
    this.#options = options;
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const url = new URL(req.url ?? '/', 'http://gateway');
      if (url.pathname.startsWith('/internal/')) await this.#internal(req, res, url);
      else await this.#route(req, res, url);
    } catch (error) {
      const failure = toFailure(error);
      if (failure.codeName === 'internal') {
        this.#options.log.error({ stack: failure.stack }, failure.line);
      }
      sendFailure(res, failure);
    } finally {
      // A body that nobody reads would block the connection for the next request.
      if (!req.complete) req.resume();
    }
  }

  async #route(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const { pathname } = url;
    const { phase, fleet } = this.#options;
    if (pathname === '/healthz') sendJson(res, 200, { ok: true });
    else if (pathname === '/readyz') this.#ready(res);
    else if (pathname === '/v1/addresses') this.#addresses(res);
    else if (phase() === 'leaving') this.#refuseLeaving(res);
    else if (!fleet.isReady) {
      throw new Failure('noOwner', 'the settings are not there yet', { retryAfterMs: 1000 });
    } else if (pathname === '/v1/completions' && req.method === 'POST') {
      await this.#options.models.handle(req, res, teamOf(req, fleet.settings));
    } else if (pathname.startsWith(SERVICES_PATH)) await this.#plain(req, res, url);
    else {
      throw new Failure(
        'badRequest',
        `found ${req.method} ${pathname}, expected POST /v1/completions, /services/NAME/… or GET /v1/addresses`,
      );
    }
  }

  #ready(res: ServerResponse): void {
    const ready = this.#options.fleet.isReady && this.#options.phase() === 'open';
    sendJson(res, ready ? 200 : 503, { ready });
  }

  #addresses(res: ServerResponse): void {
    sendJson(res, 200, {
      addresses: this.#options.fleet.addresses(),
      ttlMs: this.#options.addressTtlMs,
    });
  }

  #refuseLeaving(res: ServerResponse): void {
    const failure = new Failure('draining', 'this VM is leaving', { retryAfterMs: 0 });
    const addresses = this.#options.fleet.addresses().join(', ');
    res.setHeader('goldcrestdock-addresses', addresses);
    res.setHeader('connection', 'close');
    sendFailure(res, failure);
  }

  async #plain(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const team = teamOf(req, this.#options.fleet.settings);
    const [service = '', ...rest] = url.pathname.slice(SERVICES_PATH.length).split('/');
    await this.#options.plain.handle(req, res, team, service, `/${rest.join('/')}${url.search}`);
  }

  async #internal(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const { peerKey, burn } = this.#options;
    const known = timingSafeEqual(
      Buffer.from(hashToken(tokenOf(req))),
      Buffer.from(hashToken(peerKey)),
    );
    if (!known) throw new Failure('unauthorized', 'found an unknown bearer token');
    if (url.pathname === '/internal/holds') await this.#holds(req, res);
    else if (url.pathname === '/internal/burn') sendJson(res, 200, burn.collect(Date.now()));
    else if (url.pathname.startsWith(RELAY_PATH)) this.#stream(res, url);
    else throw new Failure('badRequest', `found ${url.pathname}`);
  }

  async #holds(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { id } = JSON.parse((await readBody(req, HOLDS_LIMIT_BYTES)).toString()) as {
      id?: string;
    };
    const run = this.#options.models.run(String(id));
    sendJson(res, 200, { held: run !== undefined && !run.hasEnded });
  }

  /** A newer attempt on another gateway reads the run: the readers here are told so. */
  #stream(res: ServerResponse, url: URL): void {
    const id = decodeURIComponent(url.pathname.slice(RELAY_PATH.length));
    const run = this.#options.models.run(id);
    if (!run || run.hasEnded)
      throw new Failure('badRequest', 'this gateway does not have that run');
    run.supersede();
    const sink = new EventSink(res, { id, model: run.request.serviceName });
    run.attach(sink);
    res.on('close', () => run.detach(sink));
  }
}
