import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import type { Way } from '../../src/node/router/race';
import { firstConnection } from '../../src/node/router/race';

/** A way that succeeds or fails after a time; notes in a log when it begins and whether its connection is closed. */
function wayOf(log: string[], name: string, delayMs: number, ms: number, isOpened: boolean): Way {
  return {
    delayMs,
    open: async () => {
      log.push(`${name} begins`);
      await pause(ms);
      if (!isOpened) throw new Error(`${name} failed`);
      const socket = { destroy: () => log.push(`${name} closed`) } as unknown as Socket;
      return { socket, via: name };
    },
  };
}

const never = new AbortController().signal;

describe('the first of several connections', () => {
  test('is the direct one where it is in time, and nothing else begins', async () => {
    const log: string[] = [];
    const ways = [wayOf(log, 'a', 0, 10, true), wayOf(log, 'b', 100, 10, true)];
    const { via } = await firstConnection(ways, never);
    await pause(150);
    expect([via, ...log]).toEqual(['a', 'a begins']);
  });

  test('is another one where it is slow; the slow one is closed when it is established', async () => {
    const log: string[] = [];
    const ways = [wayOf(log, 'a', 0, 200, true), wayOf(log, 'b', 50, 10, true)];
    const { via } = await firstConnection(ways, never);
    expect([via, ...log]).toEqual(['b', 'a begins', 'b begins']);
    await pause(250);
    expect(log.at(-1)).toBe('a closed');
  });

  test('is sought at once in the next way where one fails', async () => {
    const log: string[] = [];
    const ways = [wayOf(log, 'a', 0, 5, false), wayOf(log, 'b', 5000, 5, true)];
    const { via } = await firstConnection(ways, never);
    expect(via).toBe('b');
  });

  test('is missed only when all have failed', async () => {
    const log: string[] = [];
    const ways = [wayOf(log, 'a', 0, 30, false), wayOf(log, 'b', 10, 5, false)];
    await expect(firstConnection(ways, never)).rejects.toThrow('a failed');
  });

  /* The connection would be counted and left open at the runner. */
  test('is not used when the request was aborted', async () => {
    const log: string[] = [];
    const abort = new AbortController();
    const opening = firstConnection([wayOf(log, 'a', 0, 50, true)], abort.signal);
    abort.abort();
    await expect(opening).rejects.toThrow('aborted');
    await pause(100);
    expect(log).toEqual(['a begins', 'a closed']);
  });
});
