import { StageBalancer, optimalPrefillCount } from '../../src/core/memory/balance';
import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { Demand, PlanAction } from '../../src/core/memory/types';
import type { Engine, Runner } from '../../src/core/routing/types';
import { instanceId } from '../../src/core/routing/types';
import { runnerOf as runner } from '../fakes/runner';

const engine: Engine = {
  slots: 64,
  memoryTokens: 65_000,
  eventTokens: 7,
  keepMs: 500,
  switchMs: 6000,
};

const demand = (id: string, now: number, change: Partial<Demand> = {}): Demand => ({
  id,
  vm: 'vm1',
  customer: undefined,
  rank: 1,
  promptId: undefined,
  promptTokens: 5000,
  maxOutputTokens: 1200,
  hintTokens: undefined,
  dueAt: now + 900,
  gapMs: 0,
  lostAt: now + 3600,
  returned: false,
  resuming: false,
  avoid: [],
  ...change,
});

function plannerOf(runners: readonly Runner[]): Planner {
  const planner = new Planner(planPolicy);
  planner.handle(0, { kind: 'runners', engine, runners });
  return planner;
}

const pool = [runner('p1', 'prefill'), runner('p2', 'prefill'), runner('d1', 'decode')];

const granted = (actions: readonly PlanAction[]): readonly string[] =>
  actions.filter(({ kind }) => kind === 'grant').map(({ id }) => id);

/** Asks for `count` places at once and gives what was decided. */
function flood(planner: Planner, now: number, count: number): readonly PlanAction[] {
  return Array.from({ length: count }, (_, i) =>
    planner.handle(now, { kind: 'asked', demand: demand(`r${i}`, now) }),
  ).flat();
}

/** Lets all prefills end, so that only memory binds. */
function prefillAll(planner: Planner, now: number, ids: readonly string[]): readonly PlanAction[] {
  return ids.flatMap((id) =>
    planner.handle(now, {
      kind: 'prefilled',
      id,
      ms: 150,
      unreachable: undefined,
      shedBy: undefined,
    }),
  );
}

describe('the planner', () => {
  /*
   * A decode runner was to read a prompt itself, and the answer to that never came.
   * Its other streams are slow for seconds: by then that is no reading of a prompt,
   * and the runner gets no further work for a while.
   */
  test('does not excuse a slow decode runner by a prompt that must have been read long ago', () => {
    const planner = plannerOf([runner('d1', 'decode')]);
    planner.handle(0, { kind: 'asked', demand: demand('read', 0) });
    const held = {
      demand: demand('held', 0),
      grant: { prefill: 'p1', decode: 'd1' },
      startedAt: -500,
    };
    planner.handle(0, { kind: 'told', vm: 'vm2', holdings: [held] });
    planner.handle(1000, { kind: 'slow', id: 'held' });
    expect(planner.ejected(1001)).toEqual([]);
    planner.handle(3000, { kind: 'slow', id: 'held' });
    expect(planner.ejected(3001)).toEqual(['d1']);
  });

  /*
   * A burst of long prompts comes to one decode runner with 64 slots and memory
   * for eleven of them. With slots as the limit the twelfth would be prefilled,
   * turned away and prefilled again. It must not get a place.
   */
  test('gives no more places than the decode memory holds', () => {
    const planner = plannerOf(pool);
    const started: string[] = [];
    for (let now = 0; now < 900; now += 20) {
      const actions = now === 0 ? flood(planner, now, 20) : planner.handle(now, { kind: 'woke' });
      started.push(...granted(actions));
      started.push(...granted(prefillAll(planner, now + 10, [...started])));
    }
    expect(new Set(started).size).toBe(11);
  });

  /*
   * Many callers are refused in one burst. Told the same time, they would come
   * back as one burst and be refused for good; each is told a later time.
   */
  test('tells refused callers times one after the other', () => {
    const planner = plannerOf(pool);
    const refused = flood(planner, 0, 60).filter((action) => action.kind === 'refuse');
    const times = refused.map((action) => (action.kind === 'refuse' ? action.retryAfterMs : 0));
    expect(times.length).toBeGreaterThan(10);
    const [least = 0, most = 0] = [Math.min(...times), Math.max(...times)];
    expect(most).toBeLessThanOrEqual(4500);
    expect(most - least).toBeGreaterThan(1500);
    expect(new Set(times.map((ms) => Math.round(ms / 100))).size).toBeGreaterThan(8);
  });

  /*
   * One of two prefill runners has left for good and requests come faster than
   * the other can read. Decode memory is half empty. Requests must not wait for
   * the prefill runner alone, but a decode runner reads only one prompt at a time.
   */
  test('has decode runners read prompts when the prefill runners cannot keep up', () => {
    const planner = plannerOf([runner('p1', 'prefill'), runner('d1', 'decode')]);
    const grants = flood(planner, 0, 6).filter((action) => action.kind === 'grant');
    const direct = grants.filter(({ grant }) => grant.prefill === undefined);
    expect(direct.length).toBe(1);
    const next = planner.handle(300, { kind: 'started', id: direct[0]?.id ?? '' });
    expect(next.map((action) => action.kind === 'grant' && action.grant)).toContainEqual({
      prefill: undefined,
      decode: 'd1',
    });
  });

  /*
   * The same with three decode runners. The roomiest is busy with a prompt; the
   * others have room too and can read one each, so that none of them waits idle.
   */
  test('has each decode runner with room read a prompt', () => {
    const planner = plannerOf(['d1', 'd2', 'd3'].map((id) => runner(id, 'decode')));
    const held = ['d2', 'd2', 'd3', 'd3'].map((decode, i) => ({
      demand: demand(`held${i}`, 0),
      grant: { prefill: undefined, decode },
      startedAt: -1000,
    }));
    planner.handle(0, { kind: 'told', vm: 'vm1', holdings: held });
    const grants = flood(planner, 0, 6).filter((action) => action.kind === 'grant');
    expect(grants.map(({ grant }) => grant.decode)).toEqual(['d1', 'd2', 'd3']);
  });

  /*
   * A decode runner crashes between the prefill and the decode: the connection is
   * refused and nothing was sent. What was read still lies at the prefill runner
   * for half a second, so another decode runner gets it; it is not read again.
   */
  test('binds another decode runner when the first was not reached', () => {
    const planner = plannerOf([...pool, runner('d2', 'decode')]);
    planner.handle(0, { kind: 'asked', demand: demand('r', 0) });
    const ready = { kind: 'prefilled', id: 'r', ms: 150, shedBy: undefined } as const;
    const bound = planner.handle(150, { ...ready, unreachable: undefined, shedBy: undefined });
    const first = bound[0]?.kind === 'bind' ? bound[0].decode : '';
    const again = planner.handle(160, { ...ready, unreachable: first });
    const other = first === 'd1' ? 'd2' : 'd1';
    expect(again).toEqual([{ kind: 'bind', id: 'r', decode: other }]);
  });

  /*
   * A prefill runner reads a prompt and its answer is lost; or the VM that waits
   * for it stands still. Nobody tells the owner for a second and more. The runner
   * is idle meanwhile and has to get other prompts.
   */
  test('gives a prefill runner work though the answer for a prompt is overdue', () => {
    const planner = plannerOf([runner('p1', 'prefill'), runner('d1', 'decode')]);
    const ask = (now: number, id: string): readonly PlanAction[] =>
      planner.handle(now, { kind: 'asked', demand: demand(id, now, { promptTokens: 8000 }) });
    const prefill = (actions: readonly PlanAction[]): string | undefined =>
      actions[0]?.kind === 'grant' ? actions[0].grant.prefill : undefined;
    expect(prefill(ask(0, 'lost'))).toBe('p1');
    expect(prefill(ask(10, 'reads itself'))).toBeUndefined();
    expect(prefill(ask(600, 'later'))).toBe('p1');
  });

  /*
   * The same for a prompt that a decode runner reads itself: it may read the next
   * one. No prefill runner is left; who waits for a turn must not be refused for it.
   */
  test('lets a decode runner read another prompt when one is overdue', () => {
    const planner = plannerOf([runner('d1', 'decode')]);
    const ask = (now: number, id: string): readonly string[] =>
      granted(planner.handle(now, { kind: 'asked', demand: demand(id, now) }));
    expect(ask(0, 'lost')).toEqual(['lost']);
    expect(ask(600, 'waits')).toEqual([]);
    expect(granted(planner.handle(1250, { kind: 'woke' }))).toEqual(['waits']);
  });

  /*
   * Kept prompts lapse at once at some runners. The bound decode runner turns the
   * request away although the account has room there: it may read the prompt
   * itself, and the runner that let it lapse gets no work for a while.
   */
  test('has the same runner read a prompt that lapsed, and blames who kept it', () => {
    const planner = plannerOf([runner('p1', 'prefill'), runner('d1', 'decode')]);
    planner.handle(0, { kind: 'asked', demand: demand('r', 0) });
    const ready = { kind: 'prefilled', id: 'r', ms: 150, unreachable: undefined } as const;
    planner.handle(150, { ...ready, shedBy: undefined });
    const again = planner.handle(160, { ...ready, shedBy: 'd1' });
    expect(again).toEqual([{ kind: 'bind', id: 'r', decode: 'd1' }]);
    expect(planner.ejected(160)).toEqual(['p1']);
  });

  /*
   * The same where the account says that the runner is full: others use it too.
   * Sent there again the request would be turned away again; its caller is told
   * when to come back, and the account counts what it did not know of.
   */
  test('sends a caller away whose runner is fuller than the account knew', () => {
    const planner = plannerOf([runner('p1', 'prefill'), runner('d1', 'decode')]);
    planner.handle(0, { kind: 'asked', demand: demand('r', 0) });
    planner.handle(10, { kind: 'reported', report: { runner: 'd1', usedTokens: 63_000 } });
    const ready = { kind: 'prefilled', id: 'r', ms: 150, unreachable: undefined } as const;
    const shed = planner.handle(160, { ...ready, shedBy: 'd1' });
    expect(shed).toEqual([{ kind: 'refuse', id: 'r', retryAfterMs: 1000 }]);
    expect(planner.ejected(160)).toEqual([]);
  });

  /*
   * A decode runner reads a prompt itself, so its streams pause. They are not a
   * sign that the runner is slow; without work its memory would lie idle.
   */
  test('does not blame a decode runner for the pauses of its own reading', () => {
    const planner = plannerOf([runner('p1', 'prefill'), runner('d1', 'decode')]);
    const grants = flood(planner, 0, 3).filter((action) => action.kind === 'grant');
    const direct = grants.find(({ grant }) => grant.prefill === undefined)?.id ?? '';
    const other = grants.find(({ grant }) => grant.prefill !== undefined)?.id ?? '';
    const slow = (now: number): boolean => {
      planner.handle(now, { kind: 'slow', id: other });
      return planner.ejected(now).includes('d1');
    };
    expect(slow(100)).toBe(false);
    planner.handle(300, { kind: 'started', id: direct });
    expect(slow(900)).toBe(false);
    expect(slow(1200)).toBe(true);
  });

  /*
   * The prefill runners are behind, and a decode runner with room could read a
   * prompt itself. An event of its answers holds 59 tokens, so that all pieces of
   * the prompt fall between two of them; their callers allow 300 ms. A short
   * prompt keeps to that, a long one does not.
   */
  test('has no decode runner read a prompt that would break the pauses of its answers', () => {
    const readsItself = (promptTokens: number): boolean => {
      const planner = new Planner(planPolicy);
      const longEvents = { ...engine, eventTokens: 59 };
      const runners = [runner('p1', 'prefill'), runner('d1', 'decode')];
      planner.handle(0, { kind: 'runners', engine: longEvents, runners });
      const ask = (id: string, now: number, tokens: number): readonly PlanAction[] =>
        planner.handle(now, {
          kind: 'asked',
          demand: demand(id, now, { promptTokens: tokens, gapMs: 300 }),
        });
      // One request shows that a token takes a millisecond.
      ask('first', 0, 5000);
      prefillAll(planner, 160, ['first']);
      planner.handle(220, { kind: 'started', id: 'first' });
      planner.handle(220 + 590, { kind: 'finished', id: 'first', outputTokens: 59 * 11 });
      ask('running', 1000, 7000);
      ask('behind', 1000, 7000);
      return ask('direct', 1000, promptTokens).some(
        (action) => action.kind === 'grant' && action.grant.prefill === undefined,
      );
    };
    expect([readsItself(3000), readsItself(8000)]).toEqual([true, false]);
  });

  /* The answer to an ask was lost and the gateway asks again: it gets the place that is kept for it, not a second one. */
  test('gives the same place to a request that asks again', () => {
    const planner = plannerOf(pool);
    const first = planner.handle(0, { kind: 'asked', demand: demand('r', 0) });
    const again = planner.handle(50, { kind: 'asked', demand: demand('r', 0) });
    expect(again).toEqual(first);
    expect(planner.placed).toBe(1);
  });

  /*
   * The owner was frozen while requests ended elsewhere. What their VM says it
   * holds replaces what the owner still counts, or its memory would look full.
   */
  test('takes the word of a VM for what that VM holds', () => {
    const planner = plannerOf(pool);
    flood(planner, 0, 2);
    planner.handle(5000, { kind: 'told', vm: 'vm1', holdings: [] });
    expect(planner.placed).toBe(0);
  });

  /*
   * A new owner hears from a runner that it is full before the VMs tell which of
   * its requests those are. Counted twice, the runner would look full until its
   * next report, and a second of requests would be refused.
   */
  test('does not count a request twice that a runner reported before it was told', () => {
    const planner = plannerOf(pool);
    planner.handle(0, { kind: 'reported', report: { runner: 'd1', usedTokens: 32_000 } });
    const holdings = Array.from({ length: 6 }, (_, i) => ({
      demand: demand(`held${i}`, 0),
      grant: { prefill: undefined, decode: 'd1' },
      startedAt: -2000,
    }));
    const before = planner.load(0).memory;
    planner.handle(10, { kind: 'told', vm: 'vm1', holdings });
    expect(before).toBe(0.48);
    expect(planner.load(10).memory).toBeCloseTo(0.55, 1);
  });

  /* A new owner gets requests before the other VMs told what they hold: it must not fill runners that may be full. */
  test('keeps to half of the memory until it was told what is held', () => {
    const planner = plannerOf(pool);
    planner.startWarmUp(500);
    const now = 10;
    const started = [...granted(flood(planner, now, 20))];
    for (let t = 20; t < 400; t += 20) {
      started.push(...granted(prefillAll(planner, t, [...started])));
      started.push(...granted(planner.handle(t, { kind: 'woke' })));
    }
    expect(new Set(started).size).toBeLessThanOrEqual(6);
  });

  /*
   * The one prefill runner is slower than it was: each prompt runs into its time
   * limit and is given up. Measured by those alone that are read in time, it looked
   * free and got every prompt of a burst, and none of them was read.
   */
  test('gives a prefill runner less when its prompts run into their time limit', () => {
    const planner = plannerOf([
      runner('p1', 'prefill'),
      ...['d1', 'd2', 'd3', 'd4'].map((id) => runner(id, 'decode')),
    ]);
    let given = 0;
    const onTime: (() => void)[] = [];
    for (let now = 0; now < 10_000; now += 100) {
      const actions = planner.handle(now, { kind: 'asked', demand: demand(`r${now}`, now) });
      const reads = actions.filter((action) => action.kind === 'grant' && action.grant.prefill);
      given += reads.length;
      for (const { id } of reads) {
        onTime[(now + 900) / 100] = () => {
          planner.handle(now + 900, { kind: 'released', id, blame: 'p1' });
        };
      }
      onTime[now / 100]?.();
    }
    expect(given).toBeLessThan(30);
  });

  /*
   * A new owner knows nothing of the engine, whose tokens take a seventh of the
   * start figure. Two reports of what runs tell it: until then every request seems
   * to hold its memory for seven times as long, and callers would be sent away.
   */
  test('learns the time of a token from two reports', () => {
    const planner = plannerOf([runner('p1', 'prefill'), runner('d1', 'decode')]);
    const report = (now: number, tokens: number): void => {
      const runs = [{ request: 'other', tokens }];
      planner.handle(now, {
        kind: 'reported',
        report: { runner: 'd1', usedTokens: tokens, runs },
      });
    };
    report(0, 5000);
    report(1000, 6000);
    expect(planner.costs.tokenMs).toBe(1);
  });

  /*
   * Both runners lose power and start again under their ids. Their memory is
   * empty, their distrust was of another process, and what is told late of the
   * earlier starts must not fill the account of the new ones.
   */
  test('begins anew with a runner that starts again under its id', () => {
    const startOf = (listing: string, role: 'prefill' | 'decode', bornAt: number): Runner =>
      runner(instanceId(listing, bornAt), role, { listing, bornAt });
    const poolOf = (bornAt: number): readonly Runner[] => [
      startOf('p', 'prefill', bornAt),
      startOf('d', 'decode', bornAt),
    ];
    const planner = plannerOf(poolOf(1));
    const ids = granted(flood(planner, 0, 3));
    prefillAll(planner, 100, ids);
    planner.handle(110, { kind: 'released', id: ids[0] ?? '', blame: 'd@1' });
    const full = { runner: 'd@1', usedTokens: 60_000 };
    planner.handle(120, { kind: 'reported', report: full });
    expect(planner.load(120).memory).toBeGreaterThan(0.8);
    planner.handle(200, { kind: 'runners', engine, runners: poolOf(2) });
    const empty = planner.load(200);
    const late = { demand: demand('late', 0), grant: { prefill: 'p@1', decode: 'd@1' } };
    planner.handle(210, { kind: 'reported', report: full });
    planner.handle(210, { kind: 'slow', id: ids[1] ?? '' });
    planner.handle(210, { kind: 'finished', id: ids[1] ?? '', outputTokens: 500 });
    planner.handle(210, { kind: 'released', id: ids[2] ?? '', blame: 'd@1' });
    planner.handle(210, {
      kind: 'told',
      vm: 'vm2',
      holdings: [{ ...late, startedAt: 100 }],
    });
    expect(planner.load(210)).toEqual(empty);
    expect(empty).toMatchInlineSnapshot(`
     {
       "decode": [
         "0:0.01:0",
       ],
       "memory": 0.01,
       "prefill": [
         0,
       ],
     }
    `);
    expect(planner.ejected(210)).toEqual([]);
  });
});

describe('the balance of stages', () => {
  const workload = {
    promptTokens: 5200,
    prefillTokenMs: 0.018,
    outputTokens: 480,
    residenceMs: 3500,
  };

  /*
   * Six runners read prompts with two of them; when one is lost for good, one of
   * the five is enough, since decode runners read what it cannot. A second one
   * would cost a quarter of the decode memory, which binds.
   */
  test('wants as many prefill runners as serve most requests', () => {
    const wanted = [2, 4, 5, 6, 7, 13, 63].map((count) =>
      optimalPrefillCount(planPolicy.stages, engine, count, 1, workload),
    );
    expect(wanted).toEqual([1, 1, 1, 2, 2, 4, 20]);
  });

  /*
   * One of two prefill runners has left for good, and a burst comes. An order
   * would take a decode runner away for ten seconds to serve hardly more after.
   */
  test('orders nothing that brings less than it costs', () => {
    const balance = new StageBalancer(planPolicy.stages);
    const state = (id: string): never =>
      ({
        runner: runner(id, 'decode'),
        pending: new Map(),
        allocations: new Map(),
        slowness: 1,
      }) as never;
    const changes = (now: number, prefill: readonly string[]): number =>
      balance.changes(
        now,
        engine,
        prefill.map(state),
        ['d1', 'd2', 'd3', 'd4'].map(state),
        workload,
        false,
      ).length;
    for (let now = 0; now < 30_000; now += 500) expect(changes(now, ['p1'])).toBe(0);
    for (let now = 30_000; now < 34_000; now += 500) expect(changes(now, [])).toBe(0);
    expect(changes(34_500, [])).toBe(1);
  });

  const stateOf = (id: string): never =>
    ({
      runner: runner(id, 'prefill'),
      pending: new Map(),
      allocations: new Map(),
      slowness: 1,
    }) as never;

  /** Orders given at a time with so many runners of each stage. */
  const orderedAt = (
    balance: StageBalancer,
    now: number,
    prefill: readonly string[],
    decode: readonly string[],
  ): number =>
    balance.changes(now, engine, prefill.map(stateOf), decode.map(stateOf), workload, false).length;

  /*
   * Two decode runners crash and are back after six seconds. While they are away
   * one prefill runner less would serve more, but a change takes six seconds too,
   * and with them back it would be missed; none is ordered.
   */
  test('does not answer a crash that passes', () => {
    const balance = new StageBalancer(planPolicy.stages);
    const all = ['d1', 'd2', 'd3', 'd4', 'd5'];
    for (let now = 0; now < 4000; now += 500) {
      expect(orderedAt(balance, now, ['p1', 'p2'], all)).toBe(0);
    }
    for (let now = 4000; now < 10_000; now += 500) {
      expect(orderedAt(balance, now, ['p1', 'p2'], all.slice(0, 3))).toBe(0);
    }
    for (let now = 10_000; now < 40_000; now += 500) {
      expect(orderedAt(balance, now, ['p1', 'p2'], all)).toBe(0);
    }
  });

  /* The same, but they are gone for good: after the time in which they might return, the order comes. */
  test('answers a crash that does not pass', () => {
    const balance = new StageBalancer(planPolicy.stages);
    const all = ['d1', 'd2', 'd3', 'd4', 'd5'];
    const orders: number[] = [];
    for (let now = 0; now < 20_000; now += 500) {
      const decode = now < 4000 ? all : all.slice(0, 3);
      if (orderedAt(balance, now, ['p1', 'p2'], decode) > 0) orders.push(now);
    }
    expect(orders[0]).toBe(13_000);
  });

  /*
   * Half of the runners prefill, where a third would do, whoever comes back. Each
   * second until that is changed, requests are refused for want of decode memory.
   */
  test('changes a lasting excess as soon as the runners are known', () => {
    const balance = new StageBalancer(planPolicy.stages);
    const orders: number[] = [];
    for (let now = 0; now < 5000; now += 500) {
      const count = orderedAt(balance, now, ['p1', 'p2', 'p3', 'p4'], ['d1', 'd2', 'd3', 'd4']);
      if (count > 0) orders.push(now);
    }
    expect(orders[0]).toBe(2500);
  });
});
