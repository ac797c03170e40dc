import fc from 'fast-check';

import { QueueLimitAdmission } from '../../src/core/cell/admission';
import { Cell } from '../../src/core/cell/cell';
import type { Arrival, CellAction } from '../../src/core/cell/types';
import { Bench, policyOf, runnersOf } from '../fakes/virtual/bench';
import { Storm } from '../fakes/virtual/storm';
import {
  bagmatiWork,
  decodeCapacity,
  doselWork,
  generateJobs,
  seeded,
} from '../fakes/virtual/workload';

const arrival = (id: string, over: Partial<Arrival> = {}): Arrival => ({
  id,
  team: 'clerks',
  tier: 'interactive',
  promptTokens: 1000,
  maxTokens: 400,
  deadline: 2000,
  blocks: [],
  ...over,
});

function newCell(prefill: number, decode: number, slots = 20): Cell {
  const work = {
    ...bagmatiWork,
    prefillRunners: prefill,
    decodeRunners: decode,
    figures: { ...bagmatiWork.figures, slots },
  };
  const cell = new Cell({ policy: policyOf(work) });
  cell.handle(0, { kind: 'runners', runners: runnersOf(work) });
  return cell;
}

/** Processes a request until it is decoding. */
function serve(cell: Cell, now: number, id: string): readonly CellAction[] {
  const first = cell.handle(now, { kind: 'arrived', arrival: arrival(id) });
  const second = cell.handle(now + 50, {
    kind: 'prefilled',
    id,
    cachedTokens: 0,
    keptUntil: now + 850,
  });
  const third = cell.handle(now + 100, { kind: 'started', id });
  return [...first, ...second, ...third];
}

describe('a cell', () => {
  test('assigns a prefill and then a decode slot to a request', () => {
    expect(serve(newCell(1, 1), 0, 'a')).toMatchInlineSnapshot(`
     [
       {
         "id": "a",
         "kind": "prefill",
         "runner": "r0",
       },
       {
         "id": "a",
         "kind": "decode",
         "runner": "r1",
         "source": "r0",
       },
     ]
    `);
  });

  test('refuses a request at arrival, as not run, if its first token cannot meet the deadline', () => {
    const cell = newCell(1, 1);
    const actions = cell.handle(0, { kind: 'arrived', arrival: arrival('late', { deadline: 60 }) });
    expect(actions).toMatchInlineSnapshot(`
     [
       {
         "code": "deadlineUnreachable",
         "id": "late",
         "kind": "refuse",
         "notRun": true,
         "retryAfterMs": 86,
       },
     ]
    `);
  });

  test('refuses a queued request as soon as it becomes unservable', () => {
    const cell = new Cell({ policy: policyOf(bagmatiWork), warmUpUntil: 1e9 });
    cell.handle(0, { kind: 'runners', runners: runnersOf(bagmatiWork) });
    cell.handle(0, { kind: 'arrived', arrival: arrival('waits') });
    let now = 0;
    let actions: readonly CellAction[] = [];
    while (actions.length === 0 && now < 2000) {
      now = cell.nextWake(now);
      actions = cell.handle(now, { kind: 'woke' });
    }
    // The deadline 2000 minus the prefill (70), the transfer (20) and one token (13): from then on the deadline cannot be met.
    expect({ now, actions }).toMatchInlineSnapshot(`
     {
       "actions": [
         {
           "code": "deadlineUnreachable",
           "id": "waits",
           "kind": "refuse",
           "notRun": true,
           "retryAfterMs": 88,
         },
       ],
       "now": 1897,
     }
    `);
  });

  /*
   * A decode runner reports that it is full, so it ran nothing. The finished prefill is
   * still kept and is used with the next slot; a second prefill would be wasted work.
   */
  test('reuses a kept prefill after a decode runner refuses the request as full', () => {
    const cell = newCell(1, 2);
    cell.handle(0, { kind: 'arrived', arrival: arrival('a') });
    const [given] = cell.handle(50, {
      kind: 'prefilled',
      id: 'a',
      cachedTokens: 0,
      keptUntil: 850,
    });
    const runner = given?.kind === 'decode' ? given.runner : '';
    const again = cell.handle(60, { kind: 'failed', id: 'a', runner, reason: 'full', tokens: 0 });
    expect(again.map(({ kind }) => kind)).toEqual(['decode']);
    expect(cell.counters.wastedTokens).toBe(0);
  });

  /*
   * A runner crashes while processing requests. Failures are retried only within the
   * budget: otherwise the failure of a failure domain would repeat all of its load on the
   * remaining domains.
   */
  test('bounds retries by the budget of the team', () => {
    const cell = new Cell({ policy: policyOf(bagmatiWork), admission: new QueueLimitAdmission() });
    cell.handle(0, { kind: 'runners', runners: runnersOf(bagmatiWork) });
    for (let i = 0; i < 40; i += 1) {
      const id = `r${i}`;
      const actions = cell.handle(i, { kind: 'arrived', arrival: arrival(id, { deadline: 1e6 }) });
      for (const action of actions) {
        if (action.kind === 'prefill') {
          cell.handle(i, {
            kind: 'failed',
            id: action.id,
            runner: action.runner,
            reason: 'lost',
            tokens: 0,
          });
        }
      }
    }
    expect(cell.counters.retries).toBeLessThanOrEqual(10 + 40 * 0.2);
  });

  /*
   * A request crashes every engine that processes it, before the first token. Without
   * quarantine, its retries crash one engine after the other until the retry budget of its
   * team is spent, and the caller's next attempt continues with it.
   */
  test('quarantines a request after three engines crashed while processing it', () => {
    const cell = newCell(1, 8);
    const decodes: string[] = [];
    let now = 0;
    const attempt = (id: string, fingerprint: string): readonly CellAction[] => {
      let actions = cell.handle(now, { kind: 'arrived', arrival: arrival(id, { fingerprint }) });
      while (actions[0]?.kind === 'prefill') {
        now += 50;
        const keptUntil = now + 800;
        actions = cell.handle(now, { kind: 'prefilled', id, cachedTokens: 0, keptUntil });
        const [decode] = actions;
        if (decode?.kind === 'decode') {
          decodes.push(decode.runner);
          const { runner } = decode;
          now += 10;
          actions = cell.handle(now, { kind: 'failed', id, runner, reason: 'lost', tokens: 0 });
        }
      }
      return actions;
    };
    const seen = [attempt('a', 'f'), attempt('b', 'f')].flat();
    expect(decodes.length).toBe(3);
    expect(seen.map((action) => action.kind === 'refuse' && [action.code, action.notRun])).toEqual([
      ['quarantined', false],
      ['quarantined', true],
    ]);
  });

  // Guards against a prompt's beginning that crashes each engine, in requests of which no two are alike.
  test('quarantines leading blocks after three engines crashed under requests that share them', () => {
    const cell = newCell(1, 16);
    const [SHARED, FATAL] = [1, 77];
    const outcomes: string[] = [];
    let now = 0;
    /** Processes a request until it is refused, finished, or its engine has crashed; it is not retried. */
    const attempt = (id: string, blocks: readonly number[], crashes: boolean): string => {
      now += 500;
      const request = arrival(id, { fingerprint: id, blocks, deadline: now + 2000 });
      const [first] = cell.handle(now, { kind: 'arrived', arrival: request });
      if (first?.kind === 'refuse') return first.code;
      const prefilled = { kind: 'prefilled', id, cachedTokens: 0, keptUntil: now + 800 } as const;
      const [decode] = cell.handle(now, prefilled);
      if (decode?.kind !== 'decode') return 'waits';
      const { runner } = decode;
      if (crashes) cell.handle(now + 10, { kind: 'failed', id, runner, reason: 'lost', tokens: 0 });
      else cell.handle(now + 10, { kind: 'started', id });
      cell.handle(
        now + 20,
        crashes ? { kind: 'cancelled', id } : { kind: 'finished', id, tokens: 9 },
      );
      return crashes ? 'crashed' : 'served';
    };
    for (let turn = 0; turn < 6; turn += 1) {
      outcomes.push(attempt(`s${turn}`, [SHARED, 1000 + turn], false));
      outcomes.push(attempt(`f${turn}`, [SHARED, FATAL, 2000 + turn], true));
    }
    expect(outcomes.filter((one) => one === 'crashed').length).toBe(3);
    expect(outcomes.slice(-6)).toEqual([
      'served',
      'quarantined',
      'served',
      'quarantined',
      'served',
      'quarantined',
    ]);
  });

  /* An engine that crashes loses all of its requests. Requests that had been streaming for seconds are not counted as the cause. */
  test('retries a request that was streaming when its engines crashed', () => {
    const cell = newCell(1, 8);
    cell.handle(0, { kind: 'arrived', arrival: arrival('a', { fingerprint: 'f' }) });
    let actions: readonly CellAction[] = [];
    let now = 0;
    for (let round = 1; round <= 4; round += 1) {
      actions = cell.handle(now, {
        kind: 'prefilled',
        id: 'a',
        cachedTokens: 0,
        keptUntil: now + 800,
      });
      const [decode] = actions;
      expect(decode?.kind).toBe('decode');
      cell.handle(now + 10, { kind: 'started', id: 'a' });
      const runner = decode?.kind === 'decode' ? decode.runner : '';
      now += 5000;
      cell.handle(now, { kind: 'failed', id: 'a', runner, reason: 'lost', tokens: round * 100 });
    }
    expect(cell.requests.has('a')).toBe(true);
  });

  /* A runner counts as leaving by its report, a refusal, the platform's list or the settings. Each alone stops new work immediately. */
  test.each([
    [
      'its report',
      { kind: 'reported', report: { runner: 'r1', asOf: 900, running: 0, leaving: true } },
    ],
    ['the platform or an operator', { kind: 'departing', runners: ['r1'] }],
    [
      'the settings without it',
      {
        kind: 'runners',
        runners: runnersOf({ ...bagmatiWork, prefillRunners: 1, decodeRunners: 2 }).filter(
          ({ id }) => id !== 'r1',
        ),
      },
    ],
  ] as const)('assigns nothing to a runner that is leaving according to %s', (_source, event) => {
    const cell = newCell(1, 2);
    cell.handle(1000, event);
    const runners = Array.from({ length: 10 }, (_, i) => serve(cell, 1000 + i, `r${i}`)).flat();
    expect(runners.filter((action) => action.kind === 'decode' && action.runner === 'r1')).toEqual(
      [],
    );
    expect(runners.some((action) => action.kind === 'decode' && action.runner === 'r2')).toBe(true);
  });

  test('assigns nothing before the warm-up of a new owner ends', () => {
    const cell = new Cell({ policy: policyOf(bagmatiWork), warmUpUntil: 500 });
    cell.handle(0, { kind: 'runners', runners: runnersOf(bagmatiWork) });
    expect(cell.handle(100, { kind: 'arrived', arrival: arrival('a') })).toEqual([]);
    expect(cell.handle(500, { kind: 'woke' }).map(({ kind }) => kind)).toEqual(['prefill']);
  });

  test('neither loses slots nor counts them twice for random events in random order', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1e6 }), (seed) => {
        const { violations, remaining } = new Storm(seeded(seed)).run(2000);
        expect({ broken: violations, left: remaining }).toEqual({ broken: [], left: 0 });
      }),
      { numRuns: 30, seed: 20261202 },
    );
  });

  test('returns equal actions for equal events', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1e6 }), (seed) => {
        const runs = [1, 2].map(() => new Storm(seeded(seed)).run(1000));
        expect(runs[0]).toEqual(runs[1]);
      }),
      { numRuns: 10, seed: 20261202 },
    );
  });
});

describe.each([
  ['Dosel', doselWork, 0.01],
  ['Bagmati', bagmatiWork, 0.03],
])('under load, %s', (_name, work, wasteLimit) => {
  const run = (factor: number): ReturnType<Bench['run']> => {
    const rates = work.teams.map(() => (decodeCapacity(work) * factor) / work.teams.length);
    const jobs = generateJobs(work, { rates, durationMs: 40_000, burstMs: 0, cancelled: 0.05 }, 7);
    return new Bench({
      work,
      jobs,
      cell: {},
      warmUpMs: 15_000,
      untilMs: 40_000,
      checkInvariants: true,
    }).run();
  };

  test('ends each request once, wastes little prefill and reports "not run" only if nothing ran', () => {
    const result = run(1.5);
    expect(result.unfinished).toBe(0);
    expect(result.falseNotRun).toBe(0);
    expect(result.wasted).toBeLessThan(wasteLimit);
    expect(result.refusalLagMs).toBeLessThan(10);
  });

  test('does not complete fewer requests when the load doubles', () => {
    expect(run(2).goodInTime).toBeGreaterThan(run(1).goodInTime * 0.9);
  });
});
