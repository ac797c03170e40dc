import { setTimeout as pause } from 'node:timers/promises';

import type { Runner } from '../../src/core/routing/types';
import type { RunnerState } from '../../src/core/stream/silence';
import { RunnerChecks } from '../../src/node/router/runnerchecks';
import { Relay } from '../../src/node/router/relay';
import { AnswerStream } from '../../src/core/stream/answer';
import { exchangeInto, replyOf, streamEngine } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { crashedChecks, directPaths, quarantineOf, runningChecks, runsOf } from '../fakes/runs';

/** A client of runners whose checks end when the test says so. */
class SlowClient {
  readonly begun: string[] = [];

  readonly #ends: ((state: RunnerState) => void)[] = [];

  stateOf({ id }: Runner): Promise<RunnerState> {
    this.begun.push(id);
    return new Promise((resolve) => {
      this.#ends.push(resolve);
    });
  }

  /** Ends the check that began first. */
  async end(state: RunnerState): Promise<void> {
    this.#ends.shift()?.(state);
    await new Promise(setImmediate);
  }
}

describe('checks of runners', () => {
  // Guards against a check for each of the connections that a crash ends, and against answers from before it.
  test('are shared by all who ask before they begin', async () => {
    const client = new SlowClient();
    const checks = new RunnerChecks(client);
    const [a, b] = [runnerOf('a', 'decode'), runnerOf('b', 'decode')];
    const answers = [a, a, a, b].map((runner) => checks.isRunning(runner));
    expect(client.begun).toEqual(['a', 'b']);
    await client.end('running');
    await client.end('running');
    expect(client.begun).toEqual(['a', 'b', 'a']);
    await client.end('gone');
    expect(await Promise.all(answers)).toEqual([true, false, false, true]);
    checks.isRunning(a).catch(() => {});
    expect(client.begun).toEqual(['a', 'b', 'a', 'a']);
  });
});

/** Checks that find each runner in these states in turn, the last one from then on. */
function checksInTurn(...states: readonly RunnerState[]): RunnerChecks {
  const turns = new Map<string, number>();
  const stateOf = async ({ id }: Runner): Promise<RunnerState> => {
    const turn = turns.get(id) ?? 0;
    turns.set(id, Math.min(turn + 1, states.length - 1));
    return states[turn] ?? 'unknown';
  };
  return new RunnerChecks({ stateOf });
}

/** Checks of a sound runner that is silent for a moment. */
const resumedChecks = (): RunnerChecks => checksInTurn('unknown', 'unknown', 'running');

describe('a runner that does not answer a check', () => {
  // Guards against a sound runner that is taken for one that ended since it is silent for a moment.
  test.each<readonly [string, RunnerChecks, boolean]>([
    ['goes on', resumedChecks(), true],
    ['is gone', checksInTurn('unknown', 'gone'), false],
    ['stays silent', checksInTurn('unknown'), false],
  ])('is checked again: it %s', async (_, checks, survives) => {
    const startedAt = performance.now();
    expect(await checks.survives(runnerOf('d', 'decode'))).toBe(survives);
    expect(performance.now() - startedAt).toBeLessThan(4000);
  });
});

describe('an answer that ends with its connection', () => {
  // Guards against the end of a crashed runner's connections that is taken for the end of its answers.
  test.each([
    ['runs', runningChecks, 'done', 'id: 1\ndata: x\n\n'],
    ['has crashed', crashedChecks, 'broken', 'id: 1\ndata: x\n\n'],
    ['has crashed before its first event', crashedChecks, 'broken', ''],
  ])('is complete only if its runner runs: it %s', async (_, checks, outcome, text) => {
    const quarantine = quarantineOf();
    const exchange = exchangeInto([]);
    const runner = runnerOf('d', 'decode');
    const run = runsOf(quarantine, directPaths, checks).begin(0, exchange, runner);
    const relay = new Relay({
      exchange,
      engine: streamEngine,
      stream: new AnswerStream(),
      canResume: () => true,
      affordsRun: () => true,
      isListed: () => true,
      continuation: { prepare: async () => undefined, confirm: () => undefined, cancel: () => {} },
      onProgress: () => {},
      onFirstEvents: () => {},
    });
    const reply = replyOf(200, text, 'close');
    expect(await relay.forward({ reply: { ...reply, isEvents: true }, run })).toBe(outcome);
    expect(quarantine.crashCount(exchange.fingerprint)).toBe(outcome === 'done' ? 0 : 1);
    exchange.end();
  });
});

describe('an interrupted run', () => {
  // Guards against requests that are refused since their connections broke at runners that go on.
  test.each([
    ['survived', runningChecks, 0, 'allowed'],
    ['crashed', crashedChecks, 0, 'refused'],
    ['is silent for a moment', resumedChecks(), 1000, 'allowed'],
    ['stays silent', checksInTurn('unknown'), 0, 'refused'],
  ])('counts against its request if its runner %s', async (_, checks, waitMs, kind) => {
    const quarantine = quarantineOf();
    const runs = runsOf(quarantine, directPaths, checks);
    const exchange = exchangeInto([]);
    for (const id of ['a', 'b', 'c']) {
      runs.begin(0, exchange, runnerOf(id, 'decode')).interrupted(performance.now());
      await new Promise(setImmediate);
    }
    await pause(waitMs);
    expect(quarantine.verdict(performance.now(), [exchange.fingerprint]).kind).toBe(kind);
    exchange.end();
  });
});

describe('a run whose request has ended', () => {
  // Guards against requests whose runners lose power under them, which ends no connection.
  test.each([
    ['silent for long, and its runner has crashed', 1500, crashedChecks, 1],
    ['silent for long, and its runner runs', 1500, runningChecks, 0],
    ['silent for a moment', 500, crashedChecks, 0],
  ])('counts against its request only if it was %s', async (_, silentMs, checks, crashes) => {
    const quarantine = quarantineOf();
    const exchange = exchangeInto([]);
    const now = performance.now();
    const runs = runsOf(quarantine, directPaths, checks);
    const run = runs.begin(now - silentMs, exchange, runnerOf('d', 'decode'));
    exchange.end();
    run.interrupted(now);
    await new Promise(setImmediate);
    expect(quarantine.crashCount(exchange.fingerprint)).toBe(crashes);
  });

  // Guards against requests that are refused since sound runners were silent under them for a moment.
  test.each([
    ['refused', 'stay silent', checksInTurn('unknown')],
    ['allowed', 'go on', resumedChecks()],
  ])('leaves its request %s if its runners %s', async (verdict, _, checks) => {
    const quarantine = quarantineOf();
    const exchange = exchangeInto([]);
    const now = performance.now();
    const runs = runsOf(quarantine, directPaths, checks);
    const begun = ['a', 'b', 'c', 'd', 'e'].map((id) =>
      runs.begin(now - 1500, exchange, runnerOf(id, 'decode')),
    );
    exchange.end();
    begun.forEach((run) => run.interrupted(now));
    await pause(1500);
    expect(quarantine.verdict(performance.now(), [exchange.fingerprint]).kind).toBe(verdict);
  });
});
