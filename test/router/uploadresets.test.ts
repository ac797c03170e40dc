import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { Partition } from '../fakes/partition';
import { RouterCluster } from '../fakes/routers';

const UPLOAD_BYTES = 900_000;
/** Time between the end of an answer and the reset, in milliseconds. */
const RESET_MS = 20;

/** How a runner ends its connection within an answer, while the request is still being written. */
const endings: Readonly<Record<string, (socket: Socket) => void>> = {
  'reset at once': (socket) => socket.resetAndDestroy(),
  'reset later': (socket) => setTimeout(() => socket.resetAndDestroy(), RESET_MS),
  'closed in order, and reset later': (socket) => {
    socket.end();
    setTimeout(() => socket.resetAndDestroy(), RESET_MS);
  },
  'closed at once': (socket) => socket.destroy(),
};

/** VMs that reach the runners directly. */
const ways = [
  ['directly', ['vm1', 'vm2']],
  ['through another VM', ['vm2']],
] as const;

describe.each(ways)('a runner that is reached %s', (_, direct) => {
  const partition = new Partition(direct);
  const routers = new RouterCluster({
    vms: 2,
    runners: 2,
    prefillRunners: 1,
    partition,
    retries: { ratio: 1, extra: 10_000, windowMs: 10_000 },
  });

  beforeAll(async () => {
    await routers.start();
    partition.cut(['vm1'], 'live');
  }, 30_000);
  afterAll(() => routers.stop(), 30_000);

  function answerAll(answerEarlyOn: (socket: Socket, req: IncomingMessage) => boolean): void {
    for (const role of ['plain', 'decode'] as const) {
      for (const runner of routers.runnersOf(role)) runner.answerEarlyOn = answerEarlyOn;
    }
  }

  /** The head of a runner's answer without a length to a request. */
  function headOf(req: IncomingMessage): string {
    const isPlain = /^\/(plain|once)/.test(req.url ?? '');
    const lines = [
      'HTTP/1.1 200 OK',
      `Request-Id: ${req.headers['request-id']}`,
      'Server-Signature: s',
      `Content-Type: ${isPlain ? 'text/plain' : 'text/event-stream'}`,
    ];
    return `${lines.join('\r\n')}\r\n\r\n`;
  }

  /** How a caller got the answer to a request with a body. */
  async function outcomeOf(route: string, bytes: number): Promise<string> {
    const name = `${route}-${Math.random()}`;
    const prompt = { 'prompt-prefix': `${Buffer.from(name).toString('hex')}:100` };
    const body = name.padEnd(bytes, 'x');
    const { status, whole } = await routers.sendRequest(0, `/${route}/x`, body, prompt);
    return status === 200 ? `200 ${whole ? 'complete' : 'cut'}` : `${status}`;
  }

  // Guards against a part of an answer that looks complete since its connection ended within the upload.
  test.each(Object.keys(endings))(
    'and whose connection is %s within an upload: no part looks complete',
    async (name) => {
      answerAll((socket, req) => {
        if (Number(req.headers['content-length']) < UPLOAD_BYTES) return false;
        req.pause();
        socket.write(`${headOf(req)}id: 1\ndata: x\n\n`, () => endings[name]?.(socket));
        return true;
      });
      const routes = ['plain', 'once', 'model', 'long'].flatMap((route) => [route, route, route]);
      const outcomes = await Promise.all(routes.map((route) => outcomeOf(route, UPLOAD_BYTES)));
      expect(outcomes.filter((outcome) => !['200 cut', '502'].includes(outcome))).toEqual([]);
    },
    30_000,
  );

  // Guards against whole answers that are cut since their requests are long.
  test('and reads an upload before it closes its connection: the answer is complete', async () => {
    for (const role of ['plain', 'decode'] as const) {
      for (const runner of routers.runnersOf(role)) {
        runner.answerEarlyOn = undefined;
        runner.answerOn = (socket, req) => {
          if (Number(req.headers['content-length']) < UPLOAD_BYTES) return false;
          socket.end(`${headOf(req)}id: 1\ndata: x\n\n`);
          return true;
        };
      }
    }
    const routes = ['plain', 'once', 'model', 'long'];
    const outcomes = await Promise.all(routes.map((route) => outcomeOf(route, UPLOAD_BYTES)));
    expect(outcomes).toEqual(routes.map(() => '200 complete'));
  }, 30_000);
});
