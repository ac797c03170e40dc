import { once } from 'node:events';
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { LinkProxy } from '../../scripts/soak/proxy';

const HOLD_MS = 100;

/** Starts an echo server behind a link on an address of its own. */
async function startLink(): Promise<{ link: LinkProxy; server: Server; dial: () => Socket }> {
  const server = createServer((socket) => socket.pipe(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as { port: number };
  const link = new LinkProxy(`127.0.0.1:${port}`);
  await link.start('127.77.0.1', port);
  return { link, server, dial: () => connect(port, '127.77.0.1') };
}

function textOf(socket: Socket): () => string {
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  return () => Buffer.concat(chunks).toString();
}

describe('a link to a process that has ended', () => {
  // Guards against a link that accepts connections for a process that does not run, which VMs take for one that does.
  it('refuses connections until the process runs again', async () => {
    const { link, server, dial } = await startLink();
    const errorOf = async (): Promise<unknown> => {
      const socket = dial();
      const error = await once(socket, 'connect').catch((reason: NodeJS.ErrnoException) => reason);
      socket.destroy();
      return 'code' in error ? error.code : undefined;
    };
    link.setAccepting(false);
    const during = await errorOf();
    link.setAccepting(true);
    await pause(HOLD_MS);
    const after = await errorOf();
    link.stop();
    server.close();
    expect({ during, after }).toEqual({ during: 'ECONNREFUSED', after: undefined });
  });
});

describe('a link to a process that resets a connection', () => {
  // Guards against a reset with the last bytes that is passed on as an end in order, so that what was cut looks whole.
  it('passes the reset on, also with bytes before it', async () => {
    const server = createServer((socket) => {
      socket.once('data', () => socket.write('bytes', () => socket.resetAndDestroy()));
    });
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const { port } = server.address() as { port: number };
    const link = new LinkProxy(`127.0.0.1:${port}`);
    await link.start('127.77.0.1', port);
    const endOf = async (): Promise<boolean> => {
      const socket = connect(port, '127.77.0.1');
      let isReset = false;
      socket.on('error', () => {}).resume();
      // A reset that arrives together with the last bytes is emitted as `end`, without a remote address.
      socket.once('end', () => {
        isReset = socket.remoteAddress === undefined;
      });
      socket.write('request');
      const [hasError] = (await once(socket, 'close')) as [boolean];
      return hasError || isReset;
    };
    const ends = await Promise.all(Array.from({ length: 20 }, endOf));
    link.stop();
    server.close();
    expect(ends.filter((isReset) => !isReset)).toEqual([]);
  });
});

describe('a link that holds bytes', () => {
  // Guards against a silence that loses, reorders or lets through bytes of open or new connections.
  it('passes nothing until it is released, and then everything in order', async () => {
    const { link, server, dial } = await startLink();
    const open = dial();
    const opened = textOf(open);
    open.write('a');
    await once(open, 'data');
    const held: string[] = [];
    link.hold((bytes) => held.push(bytes.toString()));
    const fresh = dial();
    const news = textOf(fresh);
    fresh.end('x');
    open.write('b');
    await pause(HOLD_MS);
    open.write('c');
    await pause(HOLD_MS);
    const during = { open: opened(), fresh: news(), held: held.join('').split('').sort() };
    link.release();
    await once(fresh, 'close');
    open.end();
    await once(open, 'close');
    link.stop();
    server.close();
    expect({ during, after: { open: opened(), fresh: news() } }).toEqual({
      during: { open: 'a', fresh: '', held: ['b', 'c', 'x'] },
      after: { open: 'abc', fresh: 'x' },
    });
  });
});
