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
  drawJobs,
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

/** Brings a request to the point where it streams. */
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
  test('gives a request its prefill, then its slot', () => {
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

  test('refuses at once, as not run, what cannot have its first token in time', () => {
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

  test('refuses a queued request at the moment it is lost and not later', () => {
    const cell = new Cell({ policy: policyOf(bagmatiWork), warmUpUntil: 1e9 });
    cell.handle(0, { kind: 'runners', runners: runnersOf(bagmatiWork) });
    cell.handle(0, { kind: 'arrived', arrival: arrival('waits') });
    let now = 0;
    let actions: readonly CellAction[] = [];
    while (actions.length === 0 && now < 2000) {
      now = cell.nextWake(now);
      actions = cell.handle(now, { kind: 'woke' });
    }
    // 2000 less the prefill (70), the transfer (20) and one token (13): nothing could save it from here on.
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
   * A decode runner says that it is full: it ran nothing. The finished prefill is
   * still kept, so the next place uses it; a second prefill would be wasted work.
   */
  test('uses a kept prefill again when its decode place was lost', () => {
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
   * A runner dies under its requests. Each failure may be retried, but only as
   * often as the budget allows: without it a lost failure domain would send all
   * its load once more to the domains that are left.
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
   * One request ends each engine that begins it, before its first token. Queued again it
   * took engine after engine until the budget of its team was spent, and the next attempt
   * of its caller went on with it.
   */
  test('keeps a request from engines once three ended under it', () => {
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

  /* An engine that ends takes all of its requests with it. Those that had brought tokens for seconds are not held for the cause. */
  test('goes on with a request that streamed when its engines ended', () => {
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

  /* Four signs of leaving: the report, a refusal, the platform's list, the settings. Each alone stops new work at once. */
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
  ] as const)('gives nothing to a runner that leaves by %s', (_sign, event) => {
    const cell = newCell(1, 2);
    cell.handle(1000, event);
    const runners = Array.from({ length: 10 }, (_, i) => serve(cell, 1000 + i, `r${i}`)).flat();
    expect(runners.filter((action) => action.kind === 'decode' && action.runner === 'r1')).toEqual(
      [],
    );
    expect(runners.some((action) => action.kind === 'decode' && action.runner === 'r2')).toBe(true);
  });

  test('lets a new owner grant nothing before it knows what runs', () => {
    const cell = new Cell({ policy: policyOf(bagmatiWork), warmUpUntil: 500 });
    cell.handle(0, { kind: 'runners', runners: runnersOf(bagmatiWork) });
    expect(cell.handle(100, { kind: 'arrived', arrival: arrival('a') })).toEqual([]);
    expect(cell.handle(500, { kind: 'woke' }).map(({ kind }) => kind)).toEqual(['prefill']);
  });

  test('counts no slot twice and loses none, whatever comes in whatever order', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1e6 }), (seed) => {
        const { broken, left } = new Storm(seeded(seed)).run(2000);
        expect({ broken, left }).toEqual({ broken: [], left: 0 });
      }),
      { numRuns: 30, seed: 20261202 },
    );
  });

  test('gives equal actions for equal events', () => {
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
    const jobs = drawJobs(work, { rates, durationMs: 40_000, burstMs: 0, cancelled: 0.05 }, 7);
    return new Bench({
      work,
      jobs,
      cell: {},
      warmUpMs: 15_000,
      untilMs: 40_000,
      strict: true,
    }).run();
  };

  test('ends each request once, wastes little prefill and says "not run" only when it is true', () => {
    const result = run(1.5);
    expect(result.endsMissing).toBe(0);
    expect(result.falseNotRun).toBe(0);
    expect(result.wasted).toBeLessThan(wasteLimit);
    expect(result.refusalLagMs).toBeLessThan(10);
  });

  test('completes no less when twice as much comes', () => {
    expect(run(2).goodInTime).toBeGreaterThan(run(1).goodInTime * 0.9);
  });
});
