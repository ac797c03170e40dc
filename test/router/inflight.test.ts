import { EventEmitter } from 'node:events';

import pino from 'pino';

import { InflightClient, wasSentBefore } from '../../src/node/router/inflight';
import type { Dispatch, Reply, RunnerClient } from '../../src/node/router/types';
import { runnerOf } from '../fakes/runner';

const log = pino({ level: 'silent' });
/** By how much longer than the silence that shows a loss the tests wait, in milliseconds. */
const AFTER_SILENCE_MS = 400;

/** A reply whose connection brings bytes when told. */
class FakeBody extends EventEmitter {
  readonly socket = { bytesRead: 100 };
}

/** One request at a start of runner `r`; `lost` tells whether it was ended. */
async function requestAt(bornAt: number): Promise<{
  readonly client: InflightClient;
  readonly body: FakeBody;
  readonly start: (at: number) => void;
  readonly lost: () => boolean;
}> {
  let latest = bornAt;
  const body = new FakeBody();
  let signal: AbortSignal | undefined;
  const send = async (dispatch: Dispatch): Promise<Reply> => {
    ({ signal } = dispatch);
    return { body } as unknown as Reply;
  };
  const client = new InflightClient({ send } as unknown as RunnerClient, () => latest, log);
  await client.send({
    runner: runnerOf('r', 'plain', { bornAt }),
    request: { id: 'q' },
    deadlineMs: 1000,
    signal: new AbortController().signal,
  } as unknown as Dispatch);
  return {
    client,
    body,
    start: (at) => {
      latest = at;
      client.abortLost();
    },
    lost: () => signal?.aborted ?? false,
  };
}

describe('a request at a runner that starts anew under its id', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  /*
   * The runner lost power in the middle of the answer, so nothing ends the old
   * connection. As soon as the new start is known the request is lost, and its
   * caller is told, not after the seconds of a time-out.
   */
  test('is ended at once if it was sent before that start', async () => {
    const { start, lost } = await requestAt(1000);
    start(Date.now() + 60_000);
    expect(lost()).toBe(true);
  });

  /* It was sent about when the runner started: the new start may have it, and then its answer goes on. */
  test('goes on if it still brings bytes', async () => {
    const alive = await requestAt(1000);
    const silent = await requestAt(1000);
    alive.start(Date.now());
    silent.start(Date.now());
    expect([alive.lost(), silent.lost()]).toEqual([false, false]);
    alive.body.socket.bytesRead += 1;
    jest.advanceTimersByTime(AFTER_SILENCE_MS);
    expect([alive.lost(), silent.lost()]).toEqual([false, true]);
  });

  test('is left alone if its start is the latest, or its answer has ended', async () => {
    const same = await requestAt(1000);
    same.start(1000);
    const ended = await requestAt(1000);
    ended.body.emit('close');
    ended.start(Date.now() + 60_000);
    expect([same.lost(), wasSentBefore(0, 4000), wasSentBefore(0, 6000)]).toEqual([
      false,
      false,
      true,
    ]);
  });
});
