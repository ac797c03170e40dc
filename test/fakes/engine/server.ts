/**
 * Stand-in for a model engine behind HTTP: OpenAI completions with vLLM's
 * `kv_transfer_params`, plus endpoints for load, requests, cancellation, cache events,
 * orders and faults.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { hashBlocks, countTokens } from '../../../src/core/prefix';
import { call, closeServer, listen, readJson, sendJson } from '../http';
import type { EngineEvent, EngineFigures } from './model';
import { EngineModel, defaultFigures } from './model';
import { outputLength, outputToken, splitPrompt } from './text';

/** Options of an engine. */
export interface EngineOptions {
  readonly id: string;
  /** Default: a free port. */
  readonly port?: number;
  /** Default: 127.0.0.1. */
  readonly host?: string;
  /** Default: `defaultFigures`. */
  readonly figures?: Partial<EngineFigures>;
  /** Age of the values in a load report, in milliseconds. Default: 300. */
  readonly reportLagMs?: number;
  /** Whether orders with an outdated fence are refused. Default: true. */
  readonly checksFence?: boolean;
}

/** Output of a run, kept so that the stream can be resumed after its connection broke. */
interface Stream {
  readonly prompt: string;
  /** Output tokens that the prompt already contained. */
  readonly done: number;
  readonly resumable: boolean;
  /** Current response; undefined while the caller is disconnected. */
  res: ServerResponse | undefined;
  /** Server-sent events produced so far. */
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
  /** Whether the run continues for `RESUME_WINDOW_MS` after its connection broke. */
  readonly resumable?: boolean;
  readonly kv_transfer_params?: TransferParams;
}

interface LoadSample {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
}

/** Time for which a resumable run continues, and a finished one is kept, without a connection. */
const RESUME_WINDOW_MS = 3000;
const END_MARK = 'data: [DONE]\n\n';

/** Sampling interval of the load. */
const SAMPLE_INTERVAL_MS = 50;

/** HTTP server of one engine. */
export class EngineServer {
  readonly id: string;

  readonly model: EngineModel;

  /** Ids of all requests that this engine ever processed; a request refused as not run must not be among them. */
  readonly ran = new Set<string>();

  /** Orders accepted, in sequence. */
  readonly orders: unknown[] = [];

  /** Port in use once started. */
  port = 0;

  /** Refuses completions with status 503 and reports that the engine is leaving. */
  leaving = false;

  /** Leaves every request without a response, as a paused process does. */
  stalled = false;

  #server: Server | undefined;

  readonly #options: EngineOptions;

  readonly #prefills = new Map<string, ServerResponse>();

  readonly #sends = new Map<string, ServerResponse>();

  readonly #streams = new Map<string, Stream>();

  readonly #samples: LoadSample[] = [];

  #cacheLog: { seq: number; added: readonly number[]; removed: readonly number[] }[] = [];

  #cacheSequence = 0;

  #fence = 0;

  #timer: NodeJS.Timeout | undefined;

  #sampleTimer: NodeJS.Timeout | undefined;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.id = options.id;
    this.model = new EngineModel({ ...defaultFigures, ...options.figures });
  }

  /** Base URL. */
  get url(): string {
    return `http://${this.#options.host ?? '127.0.0.1'}:${this.port}`;
  }

  /** Starts listening and sampling the load. */
  async start(): Promise<this> {
    const { server, port } = await listen(
      (req, res, url) => this.#route(req, res, url),
      this.#options.port,
      this.#options.host,
    );
    this.#server = server;
    this.port = port;
    this.#sampleTimer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
    return this;
  }

  /** Stops the timers and closes the server. */
  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    clearInterval(this.#sampleTimer);
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
    this.#runModel();
  }

  #send(res: ServerResponse, id: string): void {
    if (!this.model.send(Date.now(), id)) {
      sendJson(res, 410, { error: 'evicted', not_run: true });
      return;
    }
    this.#sends.set(id, res);
    this.#runModel();
  }

  async #decode(res: ServerResponse, body: CompletionBody): Promise<void> {
    const { request_id: id, prompt: fullPrompt, max_tokens: maxTokens } = body;
    const { base: prompt, done } = splitPrompt(fullPrompt);
    const outputTokens = outputLength(prompt, maxTokens + done) - done;
    const job = { id, promptTokens: countTokens(fullPrompt), outputTokens };
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
    res.on('close', () => this.#onDisconnect(id, stream, res));
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
    this.#runModel();
  }

  #onDisconnect(id: string, stream: Stream, res: ServerResponse): void {
    if (stream.ended || stream.res !== res) return;
    Object.assign(stream, { res: undefined });
    const cancel = (): void => {
      if (stream.res !== undefined || stream.ended) return;
      this.model.cancel(Date.now(), id);
      this.#streams.delete(id);
      this.#runModel();
    };
    if (stream.resumable && this.#streams.has(id)) setTimeout(cancel, RESUME_WINDOW_MS).unref();
    else cancel();
  }

  #resume(res: ServerResponse, url: URL): void {
    const id = decodeURIComponent(url.pathname.slice('/v1/streams/'.length));
    const stream = this.#streams.get(id);
    if (!stream) {
      sendJson(res, 410, { error: 'unknown' });
      return;
    }
    const offset = Number(url.searchParams.get('offset') ?? 0);
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.write(stream.sent.slice(offset).join(''));
    if (stream.ended) {
      res.end(END_MARK);
      return;
    }
    stream.res?.destroy();
    stream.res = res;
    res.on('close', () => this.#onDisconnect(id, stream, res));
  }

  #cancel(res: ServerResponse, id: string): void {
    const known = this.model.cancel(Date.now(), id);
    this.#streams.get(id)?.res?.destroy();
    this.#streams.delete(id);
    this.#prefills.get(id)?.destroy();
    this.#prefills.delete(id);
    this.#sends.get(id)?.destroy();
    this.#sends.delete(id);
    this.#runModel();
    sendJson(res, 200, { known });
  }

  #load(res: ServerResponse): void {
    const horizon = Date.now() - (this.#options.reportLagMs ?? 300);
    const sample = this.#samples.filter(({ at }) => at <= horizon).at(-1) ?? {
      at: horizon,
      running: 0,
      waiting: 0,
    };
    sendJson(res, 200, {
      age_ms: Date.now() - sample.at,
      running: sample.running,
      waiting: sample.waiting,
      leaving: this.leaving,
    });
  }

  /** Reports changes one call late and omits every seventh entry, since event streams of real engines are delayed and lossy too. */
  #cacheEvents(res: ServerResponse, since: number): void {
    sendJson(res, 200, {
      events: this.#cacheLog.filter(({ seq }) => seq > since && seq % 7 !== 0),
    });
    const changes = this.model.takeCacheChanges();
    if (changes.added.length + changes.removed.length === 0) return;
    this.#cacheSequence += 1;
    this.#cacheLog = [...this.#cacheLog.slice(-100), { seq: this.#cacheSequence, ...changes }];
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

  #runModel(): void {
    for (const event of this.model.advance(Date.now())) this.#handleEvent(event);
    clearTimeout(this.#timer);
    const next = this.model.next();
    if (next < Infinity) {
      this.#timer = setTimeout(() => this.#runModel(), Math.max(0, next - Date.now()));
    }
  }

  #handleEvent(event: EngineEvent): void {
    if (event.kind === 'prefilled') {
      this.#respondPrefilled(event.id, event.cachedTokens, event.keptUntil);
    }
    if (event.kind === 'sent') this.#respondSent(event.id);
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
    if (event.kind === 'finished') this.#finishStream(event.id, stream);
  }

  /** Ends the stream; a resumable one is kept for `RESUME_WINDOW_MS`, so that it can still be resumed. */
  #finishStream(id: string, stream: Stream): void {
    Object.assign(stream, { ended: true });
    stream.res?.end(END_MARK);
    if (stream.resumable) setTimeout(() => this.#streams.delete(id), RESUME_WINDOW_MS).unref();
    else this.#streams.delete(id);
  }

  #respondPrefilled(id: string, cachedTokens: number, keptUntil: number): void {
    const res = this.#prefills.get(id);
    this.#prefills.delete(id);
    if (!res) return;
    sendJson(res, 200, {
      request_id: id,
      cached_tokens: cachedTokens,
      kept_ms: Math.round(keptUntil - Date.now()),
    });
  }

  #respondSent(id: string): void {
    const res = this.#sends.get(id);
    this.#sends.delete(id);
    if (res) sendJson(res, 200, {});
  }
}
