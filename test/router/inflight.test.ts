import { EventEmitter } from 'node:events';

import pino from 'pino';

import { fateByClock, fateBySilence } from '../../src/core/routing/instancefate';
import { InflightClient } from '../../src/node/router/inflight';
import type { Abandonment, Dispatch, Reply, RunnerClient } from '../../src/node/router/types';
import { runnerOf } from '../fakes/runner';

const log = pino({ level: 'silent' });
/** Time after which a request without bytes is sent again where that is certain, with a margin. */
const AFTER_SILENCE_MS = 400;
/** Longest silence of a sound runner, in milliseconds. */
const SOUND_SILENCE_MS = 2000;

/** A response body whose connection counts the bytes read; tests set the count. */
class FakeBody extends EventEmitter {
  readonly socket = { bytesRead: 100 };
}

/** One request at an instance of runner `r`; `lost` returns whether it was aborted. */
async function requestAt(
  bornAt: number,
  mayAbandon?: Abandonment,
  isEvents = false,
): Promise<{
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
    return { body, isEvents } as unknown as Reply;
  };
  const client = new InflightClient({ send } as unknown as RunnerClient, () => latest, log);
  await client.send({
    runner: runnerOf('r', 'plain', { bornAt }),
    request: { id: 'q' },
    deadlineMs: 1000,
    mayAbandon,
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

describe('a request at a runner that restarts under the same id', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  /*
   * The runner lost power during its response, so nothing closes the old connection. The request is
   * aborted as soon as the new instance is known, not after a timeout of seconds.
   */
  test('is aborted at once if it was sent before the restart', async () => {
    const { start, lost } = await requestAt(1000);
    start(Date.now() + 60_000);
    expect(lost()).toBe(true);
  });

  /* It was sent at about the time of the restart: if the new instance has it, its response continues. */
  test('continues if bytes still arrive', async () => {
    const alive = await requestAt(1000, () => true);
    const silent = await requestAt(1000, () => true);
    alive.start(Date.now());
    silent.start(Date.now());
    expect([alive.lost(), silent.lost()]).toEqual([false, false]);
    alive.body.socket.bytesRead += 1;
    jest.advanceTimersByTime(AFTER_SILENCE_MS);
    expect([alive.lost(), silent.lost()]).toEqual([false, true]);
  });

  /* The new instance has it and is silent for a moment, or works on it: nothing else can answer it. */
  test('waits while nothing can replace it', async () => {
    const once = await requestAt(1000);
    const unpaid = await requestAt(1000, () => false);
    const stream = await requestAt(1000, () => false, true);
    const all = [once, unpaid, stream];
    for (const { start } of all) start(Date.now());
    jest.advanceTimersByTime(SOUND_SILENCE_MS);
    expect(all.map(({ lost }) => lost())).toEqual([false, false, false]);
    jest.advanceTimersByTime(SOUND_SILENCE_MS / 2);
    expect(all.map(({ lost }) => lost())).toEqual([false, false, true]);
  });

  test('is not aborted if its instance is the latest, or its response has ended', async () => {
    const same = await requestAt(1000);
    same.start(1000);
    const ended = await requestAt(1000);
    ended.body.emit('close');
    ended.start(Date.now() + 60_000);
    expect([same.lost(), ended.lost()]).toEqual([false, false]);
  });

  test('is with the instance that the clocks allow', () => {
    expect([6000, 4000, -4000, -6000].map((bornAt) => fateByClock(0, bornAt))).toEqual([
      'lost',
      'unknown',
      'unknown',
      'kept',
    ]);
    const silence = { isStream: false, hasReplacement: () => true };
    expect([200, 300].map((silentMs) => fateBySilence({ ...silence, silentMs }))).toEqual([
      'unknown',
      'lost',
    ]);
  });
});
