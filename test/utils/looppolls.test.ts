import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { LoopPolls } from '../../src/utils/looppolls';

const BLOCKED_MS = 300;

/** Keeps the event loop from polling. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

describe('polls of the event loop', () => {
  const server = createServer();
  const polls = new LoopPolls();

  afterAll(() => {
    polls.stop();
    server.close();
  });

  /*
   * Guards against a stop whose times count from the late handling of its signal. Data on a
   * connection stands for the signal, as the same poll finds both.
   */
  test('show that a signal may have arrived before the process was busy', async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const accepted = once(server, 'connection') as Promise<[Socket]>;
    const sender = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const [receiver] = await accepted;
    polls.start(performance.now());
    await pause(200);
    const handled = once(receiver, 'data').then(() => performance.now());
    block(BLOCKED_MS / 2);
    const signalledAt = performance.now();
    sender.write('signal');
    block(BLOCKED_MS);
    const handledAt = await handled;
    const signalledAfter = polls.signalledAfter(handledAt);
    sender.destroy();
    expect(handledAt - signalledAt).toBeGreaterThanOrEqual(BLOCKED_MS);
    expect(signalledAfter).toBeLessThanOrEqual(signalledAt);
    expect(handledAt - signalledAfter).toBeLessThan(3 * BLOCKED_MS);
  });

  test('are not needed', () => {
    expect(new LoopPolls().signalledAfter(7)).toBe(7);
  });
});
