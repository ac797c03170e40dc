/**
 * Stand-in for a model engine behind HTTP: OpenAI completions with vLLM's
 * `kv_transfer_params`, and beside it lists, cancels, orders and faults.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { hashBlocks, countTokens } from '../../../src/core/prefix';
import { call, closeServer, listen, readJson, sendJson } from '../http';
import type { EngineEvent, EngineFigures } from './model';
import { EngineModel, defaultFigures } from './model';
import { outputLength, outputToken, splitPrompt } from './text';

/** How to start an engine. Defaults stand with each field. */
export interface EngineOptions {
  readonly id: string;
  /** Default: any free port. */
  readonly port?: number;
  /** Default: 127.0.0.1. */
  readonly host?: string;
  /** Default: `defaultFigures`. */
  readonly figures?: Partial<EngineFigures>;
  /** Age of the figures in a load report, in milliseconds. Default: 300. */
  readonly reportLagMs?: number;
  /** Whether orders with an old fence number are refused. Default: true. */
  readonly checksFence?: boolean;
}

/** A run's output, kept so that a broken connection can be picked up again. */
interface Stream {
  readonly prompt: string;
  /** Tokens of the answer that came with the prompt. */
  readonly done: number;
  readonly resumable: boolean;
  res: ServerResponse | undefined;
  /** Server-sent events so far. */
  readonly sent: string[];
  ended: boolean;
}

interface TransferParams {
  readonly do_remote_decode?: boolean;
  readonly do_remote_prefill?: boolean;
  readonly remote_url?: string;
  readonly remote_request_id?: string;
}

interface CompletionBody {
  readonly request_id: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly priority?: number;
  readonly cache_salt?: string;
  /** Go on for a while when the connection breaks. */
  readonly resumable?: boolean;
  readonly kv_transfer_params?: TransferParams;
}

interface LoadSample {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
}

/** How long a resumable run goes on without a reader, in milliseconds. */
const RESUME_MS = 3000;
const END_MARK = 'data: [DONE]\n\n';

/** Sampling period of load reports, in milliseconds. */
const SAMPLE_MS = 50;

/** A started engine. */
export class EngineServer {
  readonly id: string;

  readonly model: EngineModel;

  /** Request ids that this engine ever worked on: the record refusals are checked against. */
  readonly ran = new Set<string>();

  /** Orders obeyed, in turn. */
  readonly orders: unknown[] = [];

  port = 0;

  leaving = false;

  /** When true every answer is held back, as by a stopped process. */
  stalled = false;

  #server: Server | undefined;

  readonly #options: EngineOptions;

  readonly #prefills = new Map<string, ServerResponse>();

  readonly #sends = new Map<string, ServerResponse>();

  readonly #streams = new Map<string, Stream>();

  readonly #samples: LoadSample[] = [];

  #events: { seq: number; added: readonly number[]; removed: readonly number[] }[] = [];

  #seq = 0;

  #fence = 0;

  #timer: NodeJS.Timeout | undefined;

  #sampler: NodeJS.Timeout | undefined;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.id = options.id;
    this.model = new EngineModel({ ...defaultFigures, ...options.figures });
  }

  get url(): string {
    return `http://${this.#options.host ?? '127.0.0.1'}:${this.port}`;
  }

  async start(): Promise<this> {
    const { server, port } = await listen(
      (req, res, url) => this.#route(req, res, url),
      this.#options.port,
      this.#options.host,
    );
    this.#server = server;
    this.port = port;
    this.#sampler = setInterval(() => this.#sample(), SAMPLE_MS);
    return this;
  }

  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    clearInterval(this.#sampler);
    if (this.#server) await closeServer(this.#server);
  }

  async #route(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    if (this.stalled) return;
    const route = `${req.method} ${url.pathname}`;
    if (route === 'POST /v1/completions') this.#complete(res, (await readJson(req)) as never);
    else if (route === 'POST /v1/kv/send') {
      this.#send(res, String((await readJson(req)).request_id));
    } else if (route === 'POST /v1/cancel') {
      this.#cancel(res, String((await readJson(req)).request_id));
    } else if (route === 'GET /v1/requests') sendJson(res, 200, { held: this.model.held });
    else if (url.pathname.startsWith('/v1/streams/')) this.#resume(res, url);
    else if (route === 'GET /v1/load') this.#load(res);
    else if (route === 'GET /v1/cache/events') {
      this.#cacheEvents(res, Number(url.searchParams.get('since')));
    } else if (route === 'POST /v1/orders') this.#order(res, await readJson(req));
    else if (route === 'POST /fault') this.#fault(res, await readJson(req));
    else if (route === 'GET /ran') sendJson(res, 200, { ran: [...this.ran] });
    else sendJson(res, 404, { error: 'no such route' });
  }

  #complete(res: ServerResponse, body: CompletionBody): void {
    if (this.leaving) sendJson(res, 503, { error: 'leaving', not_run: true });
    else if (body.kv_transfer_params?.do_remote_decode) this.#prefill(res, body);
    else this.#decode(res, body).catch(() => res.destroy());
  }

  #prefill(res: ServerResponse, body: CompletionBody): void {
    const { request_id: id, prompt, priority = 0, cache_salt: salt = '' } = body;
    this.ran.add(id);
    this.#prefills.set(id, res);
    res.on('close', () => {
      if (!res.writableEnded) this.model.cancel(Date.now(), id);
    });
    const promptTokens = countTokens(prompt);
    this.model.prefill(Date.now(), {
      id,
      promptTokens,
      blocks: hashBlocks(salt, prompt),
      priority,
    });
    this.#pump();
  }

  #send(res: ServerResponse, id: string): void {
    if (!this.model.send(Date.now(), id)) {
      sendJson(res, 410, { error: 'evicted', not_run: true });
      return;
    }
    this.#sends.set(id, res);
    this.#pump();
  }

  async #decode(res: ServerResponse, body: CompletionBody): Promise<void> {
    const { request_id: id, prompt: whole, max_tokens: maxTokens } = body;
    const { base: prompt, done } = splitPrompt(whole);
    const outputTokens = outputLength(prompt, maxTokens + done) - done;
    const job = { id, promptTokens: countTokens(whole), outputTokens };
    if (!this.model.reserve(job)) {
      sendJson(res, 429, { error: 'full', not_run: true });
      return;
    }
    const stream: Stream = {
      prompt,
      done,
      resumable: body.resumable ?? false,
      res,
      sent: [],
      ended: false,
    };
    res.on('close', () => this.#lostReader(id, stream, res));
    const params = body.kv_transfer_params;
    if (params?.do_remote_prefill) {
      const sent = await call('POST', `${params.remote_url}/v1/kv/send`, {
        request_id: params.remote_request_id,
      });
      if (sent.status !== 200) {
        this.model.cancel(Date.now(), id);
        sendJson(res, 410, { error: 'evicted', not_run: true });
        return;
      }
    }
    this.ran.add(id);
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    this.#streams.set(id, stream);
    this.model.decode(Date.now(), id);
    this.#pump();
  }

  #lostReader(id: string, stream: Stream, res: ServerResponse): void {
    if (stream.ended || stream.res !== res) return;
    Object.assign(stream, { res: undefined });
    const cancel = (): void => {
      if (stream.res !== undefined || stream.ended) return;
      this.model.cancel(Date.now(), id);
      this.#streams.delete(id);
      this.#pump();
    };
    if (stream.resumable && this.#streams.has(id)) setTimeout(cancel, RESUME_MS).unref();
    else cancel();
  }

  #resume(res: ServerResponse, url: URL): void {
    const id = decodeURIComponent(url.pathname.slice('/v1/streams/'.length));
    const stream = this.#streams.get(id);
    if (!stream) {
      sendJson(res, 410, { error: 'unknown' });
      return;
    }
    const skip = Number(url.searchParams.get('offset') ?? 0);
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.write(stream.sent.slice(skip).join(''));
    if (stream.ended) {
      res.end(END_MARK);
      return;
    }
    stream.res?.destroy();
    stream.res = res;
    res.on('close', () => this.#lostReader(id, stream, res));
  }

  #cancel(res: ServerResponse, id: string): void {
    const known = this.model.cancel(Date.now(), id);
    this.#streams.get(id)?.res?.destroy();
    this.#streams.delete(id);
    this.#prefills.get(id)?.destroy();
    this.#prefills.delete(id);
    this.#sends.get(id)?.destroy();
    this.#sends.delete(id);
    this.#pump();
    sendJson(res, 200, { known });
  }

  #load(res: ServerResponse): void {
    const horizon = Date.now() - (this.#options.reportLagMs ?? 300);
    const seen = this.#samples.filter(({ at }) => at <= horizon).at(-1) ?? {
      at: horizon,
      running: 0,
      waiting: 0,
    };
    sendJson(res, 200, {
      age_ms: Date.now() - seen.at,
      running: seen.running,
      waiting: seen.waiting,
      leaving: this.leaving,
    });
  }

  /** Late by one call and without every seventh entry, as real event streams are. */
  #cacheEvents(res: ServerResponse, since: number): void {
    sendJson(res, 200, { events: this.#events.filter(({ seq }) => seq > since && seq % 7 !== 0) });
    const changes = this.model.takeCacheChanges();
    if (changes.added.length + changes.removed.length === 0) return;
    this.#seq += 1;
    this.#events = [...this.#events.slice(-100), { seq: this.#seq, ...changes }];
  }

  #order(res: ServerResponse, order: Record<string, unknown>): void {
    const fence = Number(order.fence);
    if ((this.#options.checksFence ?? true) && fence < this.#fence) {
      sendJson(res, 409, { error: 'old fence', fence: this.#fence });
      return;
    }
    this.#fence = Math.max(this.#fence, fence);
    this.orders.push(order);
    sendJson(res, 200, { fence: this.#fence });
  }

  #fault(res: ServerResponse, fault: Record<string, unknown>): void {
    if (typeof fault.leaving === 'boolean') this.leaving = fault.leaving;
    if (typeof fault.stalled === 'boolean') this.stalled = fault.stalled;
    if (fault.cut === true) {
      for (const [id, stream] of this.#streams) {
        stream.ended = true;
        this.model.cancel(Date.now(), id);
        this.#streams.delete(id);
        stream.res?.destroy();
      }
    }
    sendJson(res, 200, {});
  }

  #sample(): void {
    const at = Date.now();
    this.#samples.push({ at, running: this.model.batch, waiting: this.model.prefills });
    if (this.#samples.length > 200) this.#samples.shift();
  }

  #pump(): void {
    for (const event of this.model.advance(Date.now())) this.#tell(event);
    clearTimeout(this.#timer);
    const next = this.model.next();
    if (next < Infinity) {
      this.#timer = setTimeout(() => this.#pump(), Math.max(0, next - Date.now()));
    }
  }

  #tell(event: EngineEvent): void {
    if (event.kind === 'prefilled') {
      this.#tellPrefilled(event.id, event.cachedTokens, event.keptUntil);
    }
    if (event.kind === 'sent') this.#tellSent(event.id);
    const stream = this.#streams.get(event.id);
    if (!stream) return;
    if (event.kind === 'token') {
      const { index } = event;
      const text = outputToken(stream.prompt, stream.done + index);
      const data = { choices: [{ index: 0, text, finish_reason: null }], offset: index };
      const line = `data: ${JSON.stringify(data)}\n\n`;
      stream.sent.push(line);
      stream.res?.write(line);
    }
    if (event.kind === 'finished') this.#endStream(event.id, stream);
  }

  /** A finished run without a reader stays for a while, to be picked up. */
  #endStream(id: string, stream: Stream): void {
    Object.assign(stream, { ended: true });
    stream.res?.end(END_MARK);
    if (stream.resumable) setTimeout(() => this.#streams.delete(id), RESUME_MS).unref();
    else this.#streams.delete(id);
  }

  #tellPrefilled(id: string, cachedTokens: number, keptUntil: number): void {
    const res = this.#prefills.get(id);
    this.#prefills.delete(id);
    if (!res) return;
    sendJson(res, 200, {
      request_id: id,
      cached_tokens: cachedTokens,
      kept_ms: Math.round(keptUntil - Date.now()),
    });
  }

  #tellSent(id: string): void {
    const res = this.#sends.get(id);
    this.#sends.delete(id);
    if (res) sendJson(res, 200, {});
  }
}
