/** Routes requests on the callers' port to their handlers. */

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

/** Dependencies and settings of `CallerHandler`. */
export interface CallerHandlerOptions {
  readonly fleet: Fleet;
  readonly models: ModelHandler;
  readonly plain: PlainHandler;
  readonly burn: BurnRecorder;
  readonly peerKey: string;
  /** How long callers may use the addresses they were given, in milliseconds. */
  readonly addressTtlMs: number;
  readonly log: Logger;
  /** `draining` still accepts requests; `leaving` refuses them, as all addresses given to callers have expired. */
  readonly phase: () => 'open' | 'draining' | 'leaving';
}

const SERVICES_PATH = '/services/';
const HOLDS_BODY_LIMIT_BYTES = 1024;

/** Handles requests of callers, and of other processes of the fleet under `/internal/`. */
export class CallerHandler {
  readonly #options: CallerHandlerOptions;

  constructor(options: CallerHandlerOptions) {
    this.#options = options;
  }

  /** Handles one request; failures are sent as an error response. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const url = new URL(req.url ?? '/', 'http://gateway');
      if (url.pathname.startsWith('/internal/')) await this.#handleInternal(req, res, url);
      else await this.#route(req, res, url);
    } catch (error) {
      const failure = toFailure(error);
      if (failure.codeName === 'internal') {
        this.#options.log.error({ stack: failure.stack }, failure.line);
      }
      sendFailure(res, failure);
    } finally {
      // An unread body would block the connection for the next request.
      if (!req.complete) req.resume();
    }
  }

  async #route(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const { pathname } = url;
    const { phase, fleet } = this.#options;
    if (pathname === '/healthz') sendJson(res, 200, { ok: true });
    else if (pathname === '/readyz') this.#sendReadiness(res);
    else if (pathname === '/v1/addresses') this.#sendAddresses(res);
    else if (phase() === 'leaving') this.#refuseLeaving(res);
    else if (!fleet.isReady) {
      throw new Failure('noOwner', 'the settings have not been received yet', {
        retryAfterMs: 1000,
      });
    } else if (pathname === '/v1/completions' && req.method === 'POST') {
      await this.#options.models.handle(req, res, teamOf(req, fleet.settings));
    } else if (pathname.startsWith(SERVICES_PATH)) await this.#handlePlain(req, res, url);
    else {
      throw new Failure(
        'badRequest',
        `found ${req.method} ${pathname}, expected POST /v1/completions, /services/NAME/… or GET /v1/addresses`,
      );
    }
  }

  #sendReadiness(res: ServerResponse): void {
    const ready = this.#options.fleet.isReady && this.#options.phase() === 'open';
    sendJson(res, ready ? 200 : 503, { ready });
  }

  #sendAddresses(res: ServerResponse): void {
    sendJson(res, 200, {
      addresses: this.#options.fleet.addresses(),
      ttlMs: this.#options.addressTtlMs,
    });
  }

  #refuseLeaving(res: ServerResponse): void {
    const failure = new Failure('draining', 'this VM is shutting down', { retryAfterMs: 0 });
    const addresses = this.#options.fleet.addresses().join(', ');
    res.setHeader('goldcrestdock-addresses', addresses);
    res.setHeader('connection', 'close');
    sendFailure(res, failure);
  }

  async #handlePlain(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const team = teamOf(req, this.#options.fleet.settings);
    const [service = '', ...rest] = url.pathname.slice(SERVICES_PATH.length).split('/');
    await this.#options.plain.handle(req, res, team, service, `/${rest.join('/')}${url.search}`);
  }

  async #handleInternal(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const { peerKey, burn } = this.#options;
    const known = timingSafeEqual(
      Buffer.from(hashToken(tokenOf(req))),
      Buffer.from(hashToken(peerKey)),
    );
    if (!known) throw new Failure('unauthorized', 'found an unknown bearer token');
    if (url.pathname === '/internal/holds') await this.#sendHolds(req, res);
    else if (url.pathname === '/internal/burn') sendJson(res, 200, burn.collect(Date.now()));
    else if (url.pathname.startsWith(RELAY_PATH)) this.#streamRun(res, url);
    else throw new Failure('badRequest', `found ${url.pathname}`);
  }

  async #sendHolds(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { id } = JSON.parse((await readBody(req, HOLDS_BODY_LIMIT_BYTES)).toString()) as {
      id?: string;
    };
    const run = this.#options.models.findRun(String(id));
    sendJson(res, 200, { held: run !== undefined && !run.hasEnded });
  }

  /** Streams a run to another gateway that handles a newer attempt; the readers here end with `superseded`. */
  #streamRun(res: ServerResponse, url: URL): void {
    const id = decodeURIComponent(url.pathname.slice(RELAY_PATH.length));
    const run = this.#options.models.findRun(id);
    if (!run || run.hasEnded) throw new Failure('badRequest', 'this gateway has no such run');
    run.supersede();
    const sink = new EventSink(res, { id, model: run.request.serviceName });
    run.attach(sink);
    res.on('close', () => run.detach(sink));
  }
}
