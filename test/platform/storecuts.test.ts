import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { EraReader } from '../../src/platform/era';
import { StoreClient } from '../../src/platform/store';

const item = { key: 'k', value: 'eA==', revision: 7 };

/** A call and the body of its answer. */
interface StoreCall {
  readonly make: (store: StoreClient) => Promise<unknown>;
  readonly body: unknown;
}

const calls: Readonly<Record<string, StoreCall>> = {
  range: { make: (store) => store.range('k'), body: { items: [item], 'as-of': 12 } },
  get: { make: (store) => store.get('k'), body: { ...item, 'as-of': 12 } },
  watch: { make: (store) => store.watch('k', 1, 100), body: { events: [item], 'as-of': 12 } },
  write: { make: (store) => store.put('k', 'x'), body: { revision: 12 } },
  lease: { make: (store) => store.grantLease(100), body: { lease: 12 } },
};

/** Whether a call has a result when the store answers in this way. */
async function hasResult(
  make: StoreCall['make'],
  send: (socket: Socket) => void,
): Promise<boolean> {
  const server = createServer((socket) => {
    socket.on('error', () => {}).once('data', () => send(socket));
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as AddressInfo;
  const eras = new EraReader(new StoreHistory(), pino({ level: 'silent' }));
  const result = make(new StoreClient(`127.0.0.1:${port}`, eras));
  return result
    .then(
      () => true,
      () => false,
    )
    .finally(() => server.close());
}

describe("a store's answer without a length", () => {
  // Guards against items that are missing, or a wrong number, since an answer was cut.
  test.each(Object.entries(calls))('has a result only when it is whole: %s', async (_, call) => {
    const { make, body } = call;
    const answer = `HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n${JSON.stringify(body)}`;
    const cuts = Array.from({ length: answer.length + 1 }, (__, length) => length);
    const results = await Promise.all(
      cuts.flatMap((length) => [
        hasResult(make, (socket) => socket.end(answer.slice(0, length))),
        hasResult(make, (socket) =>
          socket.write(answer.slice(0, length), () => socket.resetAndDestroy()),
        ),
      ]),
    );
    const withResult = results.flatMap((isResult, index) =>
      isResult ? [cuts[Math.floor(index / 2)]] : [],
    );
    expect(new Set(withResult)).toEqual(new Set([answer.length]));
  });
});
