import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import { Failure } from '../../src/core/failure';
import { NO_NOTICE } from '../../src/core/routing/notice';
import type { Runner } from '../../src/core/routing/types';
import type { TunnelRequest } from '../../src/node/peer/tunnel';
import { openTunnel } from '../../src/node/peer/tunnel';
import { PeerServer } from '../../src/node/peer/server';
import { RouterMetrics } from '../../src/node/router/metrics';
import type { TunnelContext } from '../../src/node/router/tunnels';
import { Tunnels } from '../../src/node/router/tunnels';
import { replyOf } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { VmState } from '../fakes/vmstate';

const KEY = 'test-key-test-key';
const log = pino({ level: 'silent' });
/** Time after a caller left in which its runner is told, in milliseconds. */
const GONE_MS = 500;

/** Starts a TCP server on a free loopback port; returns its address. */
async function serve(onSocket: (socket: Socket) => void): Promise<{ server: Server; at: string }> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    onSocket(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { server, at: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** A VM that forwards connections to one runner. */
class ForwardingVm {
  /** Connections to runners that it opened. */
  readonly dialed: string[] = [];

  isPartitioned = false;

  readonly tunnels: Tunnels;

  readonly vm: VmState;

  readonly #server: PeerServer;

  #address = '';

  constructor(runner: Runner) {
    this.vm = new VmState([runner]);
    const paths: TunnelContext['paths'] = {
      isCutOff: () => false,
      isPartitioned: () => this.isPartitioned,
      connectDirectly: async ({ address }) => {
        if (this.isPartitioned) throw new Failure('runnerUnreachable', address);
        this.dialed.push(address);
        const [host, port] = address.split(':');
        const socket = connect({ host, port: Number(port) });
        try {
          await once(socket, 'connect');
        } catch {
          throw new Failure('runnerUnreachable', address);
        }
        socket.on('error', () => {});
        return socket;
      },
    };
    const { state: routingState } = this.vm;
    this.tunnels = new Tunnels({ routingState, paths, metrics: new RouterMetrics(), log });
    this.#server = new PeerServer({
      host: '127.0.0.1',
      port: 0,
      key: KEY,
      vm: 'forwarder',
      log,
      handler: {
        onOpen: () => {},
        onMessage: () => {},
        onCall: async () => null,
        onClose: () => {},
        onTunnel: (request, socket) => this.tunnels.open(request, socket),
      },
    });
  }

  async start(): Promise<this> {
    this.#address = `127.0.0.1:${await this.#server.listen()}`;
    return this;
  }

  async stop(): Promise<void> {
    this.tunnels.cutOff();
    await this.#server.close();
  }

  /** Opens a tunnel; resolves to its socket, or to why it is rejected. */
  async tunnelTo(request: TunnelRequest, key = KEY): Promise<Socket | string> {
    const { signal } = new AbortController();
    return openTunnel(this.#address, key, request, signal).then(
      ({ socket }) => socket,
      ({ failure, message }) => `${failure}: ${message.replace(/^\S+ /, '')}`,
    );
  }

  async socketTo(request: TunnelRequest): Promise<Socket> {
    const socket = await this.tunnelTo(request);
    if (typeof socket === 'string') throw new Error(socket);
    return socket;
  }
}

describe('a tunnel through another VM', () => {
  let runner: { server: Server; at: string };
  let forwarder: ForwardingVm;
  let onSocket: (socket: Socket) => void;
  let request: TunnelRequest;

  beforeEach(async () => {
    runner = await serve((socket) => onSocket(socket));
    const listed = runnerOf('r', 'plain', { address: runner.at });
    forwarder = await new ForwardingVm(listed).start();
    request = { address: runner.at, vm: 'vm1', runner: 'r', request: 'q1', mayAbandon: false };
  });
  afterEach(async () => {
    await forwarder.stop();
    runner.server.close();
  });

  /* A large answer to a slow reader is held back at the runner, not kept at the VM between them. */
  test('passes all bytes in both directions, at the pace of the reader', async () => {
    // More than the buffers of all connections on the way.
    const sent = 'x'.repeat(64 * 1024 * 1024);
    let writable = 0;
    onSocket = (socket) => {
      socket.once('data', (asked) => {
        socket.write(asked);
        socket.end(sent, () => {
          writable = performance.now();
        });
      });
    };
    const socket = await forwarder.socketTo(request);
    socket.write('asked');
    await pause(300);
    const readAt = performance.now();
    expect((await text(socket)) === `asked${sent}`).toBe(true);
    expect(writable).toBeGreaterThan(readAt);
  });

  /* An answer that ends with its connection would look complete. */
  test('passes on the reset of a runner as a reset', async () => {
    onSocket = (socket) => {
      socket.once('data', () => {
        socket.write('half of an answer');
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    };
    const socket = await forwarder.socketTo(request);
    socket.write('asked');
    await expect(text(socket)).rejects.toThrow('ECONNRESET');
  });

  /* Guards against an answer that looks complete since the VM that forwarded it was killed: only this VM can tell. */
  test.each([
    ['closes it after its answer', (socket: Socket) => socket.end('answer'), 6],
    ['resets it', (socket: Socket) => socket.write('half', () => socket.resetAndDestroy()), null],
    ['keeps it open', (socket: Socket) => socket.write('half'), null],
  ])('is known to have ended only if the runner %s', async (_, answer, bytes) => {
    onSocket = (socket) => socket.once('data', () => answer(socket));
    const socket = await forwarder.socketTo({ ...request, id: 't1' });
    socket.write('asked');
    await Promise.race([text(socket).catch(() => undefined), pause(100)]);
    const { tunnels } = forwarder;
    const now = performance.now();
    expect(tunnels.onAsked(now, { id: 't1' })).toBe(bytes);
    expect(tunnels.onAsked(now, { id: 't2' })).toBeNull();
    expect(tunnels.onAsked(now + 10_001, { id: 't1' })).toBeNull();
    socket.destroy();
  });

  /* A runner would work on for a caller that has left. */
  test('closes the connection to the runner when the VM that asked for it closes', async () => {
    const closed = new Promise<number>((resolve) => {
      onSocket = (socket) => {
        socket.resume();
        socket.once('close', () => resolve(performance.now()));
      };
    });
    const socket = await forwarder.socketTo(request);
    socket.write('asked');
    await pause(50);
    const leftAt = performance.now();
    socket.destroy();
    expect((await closed) - leftAt).toBeLessThan(GONE_MS);
    await pause(10);
    expect(forwarder.tunnels.active).toBe(0);
  });

  /* Nothing reaches the runner then, so the request may be sent in another way. */
  test.each<readonly [string, (now: number) => void, Partial<TunnelRequest>, string]>([
    ['whose key differs', () => {}, {}, 'vm: rejected'],
    ['to an address of no runner', () => {}, { address: '127.0.0.1:1' }, 'runner: unavailable'],
    [
      'of its own to no runner',
      () => {},
      { address: '127.0.0.1:1', request: undefined },
      'runner: unknown',
    ],
    ['to another instance', () => {}, { runner: 'r@2' }, 'runner: unavailable'],
    [
      'to a runner that leaves',
      (now) => forwarder.vm.state.learnLeaving(now, runnerOf('r', 'plain'), 'answer'),
      {},
      'runner: unavailable',
    ],
    [
      'to a runner that asked this VM for a pause',
      (now) => forwarder.vm.state.learnBackoff(now, runnerOf('r', 'plain'), 3000),
      {},
      'runner: unavailable',
    ],
    ['while it drains', () => forwarder.tunnels.startDraining(), {}, 'vm: draining'],
    [
      'while it is partitioned itself',
      () => {
        forwarder.isPartitioned = true;
      },
      {},
      'vm: runnerUnreachable',
    ],
  ])('is rejected: one %s', async (name, prepare, change, rejection) => {
    onSocket = () => {};
    prepare(performance.now());
    const key = name === 'whose key differs' ? 'another-key' : KEY;
    expect(await forwarder.tunnelTo({ ...request, ...change }, key)).toBe(rejection);
    expect(forwarder.dialed).toEqual([]);
  });

  test('goes on while the VM that forwards it drains', async () => {
    onSocket = (socket) => socket.pipe(socket);
    const socket = await forwarder.socketTo(request);
    forwarder.tunnels.startDraining();
    socket.write('still served');
    const [data] = (await once(socket, 'data')) as [Buffer];
    expect(data.toString()).toBe('still served');
    expect(forwarder.tunnels.active).toBe(1);
    socket.destroy();
  });

  /* The callers of the VM that forwards would be short of descriptors and memory. */
  test('is rejected beyond a number that one VM forwards', async () => {
    onSocket = () => {};
    const sockets = await Promise.all(
      Array.from({ length: 300 }, () => forwarder.tunnelTo(request)),
    );
    const rejected = sockets.filter((socket) => typeof socket === 'string');
    expect(rejected.length).toBe(300 - 256);
    expect(new Set(rejected)).toEqual(new Set(['vm: too many tunnels']));
    for (const socket of sockets) if (typeof socket !== 'string') socket.destroy();
  });

  /* The runner takes the VM that forwards for the sender, and counts what comes from it in the pause. */
  test('tells the VM that forwards it of a pause that the runner asks for', () => {
    const listed = runnerOf('r', 'plain', { address: runner.at });
    const sender = new VmState([listed]);
    sender.answered(listed, {
      ...replyOf(503, ''),
      genuine: false,
      notRun: true,
      notice: { ...NO_NOTICE, backoffMs: 3000 },
      via: '10.0.0.2:7000',
    });
    expect(sender.forwardedBackoffs).toEqual([{ via: '10.0.0.2:7000', id: 'r', ms: 3000 }]);
    const { state, notices } = forwarder.vm;
    expect(state.accepts(performance.now(), listed)).toBe(true);
    notices.onForwarded(performance.now(), 'r', 3000);
    expect(state.accepts(performance.now(), listed)).toBe(false);
  });
});
