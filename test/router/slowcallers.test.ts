import { createHash } from 'node:crypto';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { get } from 'node:http';
import { setImmediate as yieldOnce, setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import type { BufferBounds } from '../../src/core/delivery/buffers';
import { CallerBuffers } from '../../src/node/router/callerbuffers';
import type { Exchange } from '../../src/node/router/exchange';
import { FrontEnd } from '../../src/node/router/frontend';
import { RouterMetrics } from '../../src/node/router/metrics';
import { PlatformIngress } from '../../src/platform/ingress';
import { waitUntil } from '../fakes/cluster';
import { streamRoute } from '../fakes/exchange';
import { authorizerOf } from '../fakes/runs';
import { VmState } from '../fakes/vmstate';
import { freePort } from '../fakes/loopback';

const MIB = 1024 * 1024;
const CHUNK_BYTES = 16 * 1024;
/** More than the system buffers for a connection whose caller does not read. */
const LARGE_MIB = 24;

function chunksOf(mib: number): readonly Buffer[] {
  const count = (mib * MIB) / CHUNK_BYTES;
  return Array.from({ length: count }, (_, index) => Buffer.alloc(CHUNK_BYTES, `${index} `));
}

/** Reads a response, pausing after each part; returns its digest, or `cut`. */
async function readAll(message: IncomingMessage, partBytes = Infinity, ms = 0): Promise<string> {
  const hash = createHash('sha1');
  let unpaused = 0;
  try {
    for await (const part of message) {
      hash.update(part);
      unpaused += part.length;
      if (unpaused >= partBytes) await pause(ms);
      if (unpaused >= partBytes) unpaused = 0;
    }
  } catch {
    return 'cut';
  }
  return hash.digest('hex');
}

const digestOf = (mib: number): string => {
  const hash = createHash('sha1');
  for (const chunk of chunksOf(mib)) hash.update(chunk);
  return hash.digest('hex');
};

/** A VM that answers `/plain/MIB` with a response that is whole, and `/stream/MIB` with one that arrives by and by. */
class SlowCallersSetup {
  readonly metrics = new RouterMetrics();

  readonly lines: unknown[] = [];

  readonly buffers: CallerBuffers;

  /** Requests whose streams were read from the runner completely. */
  readonly read: string[] = [];

  #port = 0;

  readonly #front: FrontEnd;

  constructor(bounds: BufferBounds) {
    const { metrics } = this;
    const log = pino({}, { write: (line) => this.lines.push(JSON.parse(line)) });
    const { state: routingState } = new VmState([]);
    const route = { ...streamRoute, anonymous: true };
    const limits = { bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };
    routingState.learnConfig(0, { version: 1, routes: [route], services: [], limits }, 'test');
    this.buffers = new CallerBuffers({ bounds: () => bounds, metrics, log });
    this.#front = new FrontEnd({
      routingState,
      authorizer: authorizerOf(routingState),
      codec: new PlatformIngress(),
      buffers: this.buffers,
      metrics,
      log,
      onRequest: (exchange) => this.#serve(exchange),
      onDone: () => {},
    });
  }

  async start(): Promise<this> {
    this.#port = await freePort();
    await this.#front.listen(`127.0.0.1:${this.#port}`);
    return this;
  }

  stop(): void {
    this.#front.cutOff();
    this.#front.close();
  }

  /** Sends a request; resolves with the response, of which nothing is read yet. */
  async ask(path: string, id: string): Promise<IncomingMessage> {
    const headers = { host: 'h', 'request-id': id };
    const req = get({ host: '127.0.0.1', port: this.#port, path, headers, agent: false });
    const [message] = (await once(req, 'response')) as [IncomingMessage];
    return message.on('error', () => {});
  }

  async #serve(exchange: Exchange): Promise<void> {
    const { id, target } = exchange.request;
    const [, kind, mib] = target.split('/');
    const chunks = chunksOf(Number(mib));
    exchange.writeHead(200, []);
    for (const chunk of kind === 'stream' ? chunks : []) {
      if (exchange.signal.aborted) return;
      await exchange.write(chunk);
      await yieldOnce();
    }
    this.read.push(id);
    exchange.end(kind === 'stream' ? undefined : Buffer.concat(chunks));
  }
}

describe('a caller that reads slowly', () => {
  let setup: SlowCallersSetup;
  const startWith = async (bounds: BufferBounds): Promise<void> => {
    setup = await new SlowCallersSetup(bounds).start();
  };
  afterEach(() => setup.stop());

  // Guards against runners that abort responses because callers read late.
  test('gets a response that was read from the runner while it read nothing', async () => {
    await startWith({ responseBytes: 32 * MIB, vmBytes: 32 * MIB, stallMs: 500 });
    const message = await setup.ask(`/stream/${LARGE_MIB}`, 'late');
    await waitUntil('the runner is free', () => setup.read.includes('late'));
    await pause(1000);
    expect(await readAll(message)).toBe(digestOf(LARGE_MIB));
    await waitUntil('nothing is buffered', () => setup.buffers.size === 0);
    expect(setup.metrics.values['callers.disconnected']).toBeUndefined();
  });

  // Guards against the disconnection of callers that read, also a part of a large chunk.
  test.each(['stream', 'plain'])(
    'gets its whole response if it keeps reading: %s',
    async (kind) => {
      await startWith({ responseBytes: MIB, vmBytes: 2 * MIB, stallMs: 1000 });
      const message = await setup.ask(`/${kind}/${LARGE_MIB}`, 'steady');
      expect(await readAll(message, MIB / 4, 40)).toBe(digestOf(LARGE_MIB));
      expect(setup.metrics.values['callers.disconnected']).toBeUndefined();
    },
  );

  // Guards against a caller that holds memory and a runner for as long as it likes.
  test('is disconnected if it reads nothing at the bound, while others are served', async () => {
    await startWith({ responseBytes: MIB, vmBytes: 2 * MIB, stallMs: 500 });
    const silent = await setup.ask(`/stream/${LARGE_MIB}`, 'silent');
    const others = ['a', 'b', 'c'].map(async (id) =>
      readAll(await setup.ask(`/stream/${LARGE_MIB}`, id)),
    );
    expect(await Promise.all(others)).toEqual(Array(3).fill(digestOf(LARGE_MIB)));
    await waitUntil('it is disconnected', () => setup.buffers.size === 0);
    expect(await readAll(silent)).toBe('cut');
    expect(setup.read.sort()).toEqual(['a', 'b', 'c']);
    expect(setup.metrics.values['callers.disconnected']).toBe(1);
    const line = { request: 'silent', service: 's', code: 'callerStalled', bound: 'response' };
    expect(setup.lines).toEqual([expect.objectContaining(line)]);
  });

  // Guards against callers that are held back for as long as others fill the buffers of the VM.
  test('gets its whole response while others that read nothing fill the buffers', async () => {
    await startWith({ responseBytes: MIB, vmBytes: MIB, stallMs: 60_000 });
    await setup.ask(`/stream/${LARGE_MIB}`, 'silent');
    await waitUntil('it is held back', () => setup.buffers.snapshot().held === 1);
    const message = await setup.ask(`/stream/${LARGE_MIB}`, 'steady');
    expect(await readAll(message, MIB / 2, 20)).toBe(digestOf(LARGE_MIB));
    expect(setup.metrics.values['callers.held_vm']).toBeGreaterThan(0);
  });

  // Guards against plain responses that stay in memory until their callers close their connections.
  test('leaves the VM below its bound after plain responses that are not read', async () => {
    await startWith({ responseBytes: 8 * MIB, vmBytes: 16 * MIB, stallMs: 500 });
    const ids = Array.from({ length: 10 }, (_, index) => `p${index}`);
    const messages = await Promise.all(ids.map((id) => setup.ask('/plain/4', id)));
    await waitUntil('callers are disconnected', () => setup.buffers.size === 3);
    expect(setup.buffers.snapshot()).toEqual({ responses: 3, bytes: 12 * MIB, held: 0 });
    const ends = await Promise.all(messages.map((message) => readAll(message)));
    expect(ends.filter((end) => end === digestOf(4))).toHaveLength(3);
  });
});
