import { setTimeout as pause } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

import { SilenceWatch } from '../../src/node/router/silence';

/** Answers each message after 30 ms. */
const ANSWERING = `
  const { parentPort } = require('node:worker_threads');
  parentPort.on('message', () => setTimeout(() => parentPort.postMessage('running'), 30));
`;
const BUSY_MS = 600;

function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

describe('the watch of a silent stream', () => {
  // Guards against a VM that is busy, takes its own delay for the silence of a runner, and ends a sound stream.
  test('counts no check during which this VM was busy', async () => {
    const runner = new Worker(ANSWERING, { eval: true });
    let ended = 0;
    const watch: SilenceWatch = new SilenceWatch({
      body: {
        destroy: () => {
          ended += 1;
          watch.stop();
          return undefined as never;
        },
      },
      bounds: { gapMs: 10, patienceMs: 0 },
      canResume: () => true,
      prepare: async () => undefined,
      confirm: () => undefined,
      cancel: () => {},
      runnerState: () =>
        new Promise((resolve) => {
          runner.once('message', () => {
            watch.heard(performance.now());
            resolve('running');
          });
          runner.postMessage('check');
          setTimeout(() => setImmediate(() => block(BUSY_MS)), 5);
        }),
      onRefused: () => {},
      onReplaced: () => {},
    });
    watch.heard(performance.now());
    await pause(1700);
    watch.stop();
    await runner.terminate();
    expect(ended).toBe(0);
  }, 20_000);

  // Guards against checks of a runner all the time where a route names a pause that is longer than a timer.
  test('checks no runner before a pause that is longer than a timer has passed', async () => {
    const longest = 2 ** 31 - 1;
    let checks = 0;
    const watch = new SilenceWatch({
      body: { destroy: () => undefined as never },
      bounds: { gapMs: longest, patienceMs: longest },
      canResume: () => true,
      prepare: async () => undefined,
      confirm: () => undefined,
      cancel: () => {},
      runnerState: async () => {
        checks += 1;
        return 'running';
      },
      onRefused: () => {},
      onReplaced: () => {},
    });
    watch.heard(performance.now());
    await pause(100);
    watch.stop();
    expect(checks).toBe(0);
  });
});
