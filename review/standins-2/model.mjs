/** Runners of a model service with separate stages, and clients that take up streams; see the pages. */

import http from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

import { pause } from './kit.mjs';

const RUNNER_PORT = 8080;
const SLOTS = 64;
const CAPACITY_TOKENS = 65_205;

/** A runner that prefills or decodes. Each event of its streams names its software version. */
export class ModelRunner {
  isUp = false;

  #server;

  #sockets = new Set();

  #handles = new Set();

  #runs = 0;

  constructor(deployment, index, { service, stage, version, events, gapMs }) {
    this.id = `m-${index}`;
    this.ip = `${deployment.network}.${100 + index}`;
    this.store = deployment.store;
    this.options = { service, stage, version, events, gapMs };
  }

  async start() {
    this.#server = http.createServer((req, res) => this.#handle(req, res));
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(RUNNER_PORT, this.ip, resolve);
    });
    this.isUp = true;
    const { service, stage, version } = this.options;
    this.store.put(`servers/${this.id}`, {
      service,
      address: `${this.ip}:${RUNNER_PORT}`,
      zone: 'a',
      version,
      slots: SLOTS,
      state: 'ready',
      'cold-remaining-ms': 0,
      stage,
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: 0,
    });
  }

  /** Its process ends at once. */
  exit() {
    this.isUp = false;
    this.#server?.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Its entry is removed. */
  removeEntry() {
    this.store.remove(`servers/${this.id}`);
  }

  #handle(req, res) {
    req.resume();
    req.on('error', () => undefined);
    req.on('end', () => this.#answer(req, res));
  }

  #answer(req, res) {
    const { stage } = this.options;
    const expected = req.headers['expected-instance'];
    const json = (status, value) => {
      res.writeHead(status, { 'content-type': 'application/json', 'instance-id': this.id });
      res.end(JSON.stringify(value));
    };
    if (expected !== undefined && expected !== this.id) {
      json(421, {});
    } else if (req.url === '/v1/report') {
      json(200, {
        stage,
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        queued: 0,
        running: this.#runs,
        'kv-used': this.#runs * 600,
        'kv-total': CAPACITY_TOKENS,
        'kv-handles': this.#handles.size,
        runs: [],
      });
    } else if (req.url === '/v1/order') {
      // Another order is in progress.
      json(409, {});
    } else if (req.url.startsWith('/v1/kv-handle/')) {
      this.#handles.delete(req.url.split('/').at(-1));
      json(200, {});
    } else if (req.headers['serving-stage'] === 'prefill') {
      const handle = Math.random().toString(16).slice(2, 14);
      this.#handles.add(handle);
      setTimeout(() => json(200, { 'kv-handle': handle, tokens: 500, version: 1 }), 10);
    } else if (stage === 'decode') {
      this.#stream(req, res);
    } else {
      json(421, {});
    }
  }

  #stream(req, res) {
    const { version, events, gapMs } = this.options;
    const id = req.headers['request-id'];
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'request-id': id,
      'server-signature': `sig-${id}`,
      'instance-id': this.id,
      'weight-versions': '1',
    });
    this.#runs += 1;
    let event = Number(req.headers['last-event-id'] ?? 0);
    const timer = setInterval(() => {
      event += 1;
      res.write(`id: ${event}\ndata: ${version}\n\n`);
      if (event >= events) res.end();
    }, gapMs);
    res.once('close', () => {
      clearInterval(timer);
      this.#runs -= 1;
    });
  }
}

/** The configuration with one streaming route, which may be resumed, to one model service. */
export function modelConfigOf(service) {
  return {
    version: 1,
    routes: [
      {
        name: 'r-stream',
        host: 'stream.example',
        'path-prefix': '/stream/',
        kind: 'streaming',
        'timeout-ms': 14_000,
        'target-latency-ms': 900,
        priority: 1,
        service,
        'max-attempts': 2,
        sticky: true,
        resumable: true,
        'gap-target-ms': 300,
      },
    ],
    services: [
      {
        name: service,
        'health-path': '/health-check',
        'max-connections': 370,
        engine: {
          slots: SLOTS,
          'kv-capacity-tokens': CAPACITY_TOKENS,
          'kv-token-bytes': 18_432,
          'link-mbps': 370_000,
          moves: true,
          backups: true,
          stride: 7,
          most: 12,
          'kv-hold-s': 0.5,
          'switch-s': 6,
          models: [{ name: 'm' }],
        },
      },
    ],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
  };
}

/** One stream of a client: its events over all its attempts. */
export class ClientStream {
  /** Ids and data of the events that it holds. */
  events = [];

  isWhole = false;

  /** Status, or how it ended, of each attempt. */
  attempts = [];

  #first;

  constructor(name, routers) {
    this.name = name;
    this.routers = routers;
  }

  /** Begins the stream, or takes it up at a router; resolves when the attempt has ended. */
  attempt(router) {
    const id = `${this.name}-${this.attempts.length}`;
    const last = this.events.at(-1);
    const headers = {
      host: 'stream.example',
      'request-id': id,
      'request-deadline-ms': '14000',
      model: 'm',
      'token-usage': '500,80',
      'prompt-prefix': `${this.name}:500`,
      'content-length': 2,
      ...(last ? { 'last-event-id': last.id, resumes: this.#first } : {}),
    };
    const options = { ...router.front, method: 'POST', path: `/stream/${this.name}`, headers };
    return new Promise((resolve) => {
      let rest = '';
      const done = (outcome) => {
        this.attempts.push(`${router.name} ${outcome}`);
        resolve();
      };
      const req = http.request({ ...options, agent: false }, (res) => {
        res.setEncoding('utf8');
        res.on('data', (text) => {
          const blocks = (rest + text).split('\n\n');
          rest = blocks.pop();
          for (const block of res.statusCode === 200 ? blocks : []) {
            this.#first ??= id;
            const [, event, data] = /^id: (\d+)\ndata: (.*)$/m.exec(block) ?? [];
            if (event) this.events.push({ id: event, data });
          }
        });
        res.on('end', () => {
          this.isWhole = res.statusCode === 200 && res.complete;
          done(`${res.statusCode}${res.complete ? '' : ' cut'}`);
        });
        res.on('error', () => done('cut'));
      });
      req.on('error', ({ code }) => done(`closed ${code}`));
      req.end('{}');
    });
  }

  /** Takes the stream up until it is whole or its time is over. */
  async goOn(limitMs) {
    const until = Date.now() + limitMs;
    for (let turn = 0; !this.isWhole && Date.now() < until; turn += 1) {
      await this.attempt(this.routers[turn % this.routers.length]);
      if (!this.isWhole) await pause(500);
    }
  }

  /** The software versions whose events it holds. */
  get versions() {
    return [...new Set(this.events.map(({ data }) => data))];
  }
}
