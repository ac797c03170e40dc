import fc from 'fast-check';

import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { PlanAction, PlanEvent } from '../../src/core/memory/types';
import { demandOf } from '../fakes/demand';
import { streamEngine } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';

const VMS = ['vm1', 'vm2', 'vm3'];
const RUNNERS = [
  runnerOf('p1', 'prefill'),
  runnerOf('p2', 'prefill'),
  runnerOf('d1', 'decode'),
  runnerOf('d2', 'decode'),
  runnerOf('d3', 'decode'),
];

/** A step of a random history; `pick` selects one of the requests that may take it. */
type Step =
  | { readonly kind: 'ask'; readonly vm: string; readonly promptTokens: number }
  | { readonly kind: 'pause'; readonly vm: string; readonly runner: string; readonly ms: number }
  | { readonly kind: 'prefilled' | 'started' | 'finished' | 'released'; readonly pick: number }
  | { readonly kind: 'leave'; readonly runner: string }
  | { readonly kind: 'wake' };

const vm = fc.constantFrom(...VMS);
const runner = fc.constantFrom(...RUNNERS.map(({ id }) => id));
const pick = fc.nat(1000);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('ask' as const),
      vm,
      promptTokens: fc.integer({ min: 100, max: 20_000 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('pause' as const), vm, runner, ms: fc.nat(3000) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'prefilled' as const,
        'started' as const,
        'finished' as const,
        'released' as const,
      ),
      pick,
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), runner }) },
  { weight: 2, arbitrary: fc.constant({ kind: 'wake' as const }) },
);
const history = fc.array(fc.record({ step, afterMs: fc.nat(400) }), { maxLength: 120 });

/** A planner, and what its VMs know of it. */
class Model {
  readonly #planner = new Planner(planPolicy);

  /** VM of each request. */
  readonly #vmOf = new Map<string, string>();

  /** Ends of the pauses by VM and runner. */
  readonly #until = new Map<string, number>();

  /** Requests that hold a reservation, in order. */
  readonly #granted: string[] = [];

  #listed = RUNNERS;

  #asked = 0;

  /** What the planner decided against a pause, or for a runner that left. */
  readonly violations: string[] = [];

  constructor() {
    this.#handle(0, { kind: 'runners', engine: streamEngine, runners: RUNNERS });
  }

  take(now: number, one: Step): void {
    if (one.kind === 'ask') this.#ask(now, one.vm, one.promptTokens);
    else if (one.kind === 'pause') this.#pause(now, one.vm, one.runner, one.ms);
    else if (one.kind === 'leave') this.#leave(now, one.runner);
    else if (one.kind === 'wake') this.#handle(now, { kind: 'woke' });
    else this.#progress(now, one.kind, one.pick);
  }

  #ask(now: number, asker: string, promptTokens: number): void {
    this.#asked += 1;
    const demand = demandOf(`q${this.#asked}`, now, { vm: asker, promptTokens, gapMs: 300 });
    this.#vmOf.set(demand.id, asker);
    this.#handle(now, { kind: 'asked', demand });
  }

  #pause(now: number, asked: string, by: string, ms: number): void {
    const key = `${asked} ${by}`;
    this.#until.set(key, Math.max(now + ms, this.#until.get(key) ?? 0));
    const backoffs = [{ runner: by, until: now + ms }];
    this.#handle(now, { kind: 'backedOff', vm: asked, backoffs });
  }

  #leave(now: number, gone: string): void {
    this.#listed = this.#listed.filter(({ id }) => id !== gone);
    this.#handle(now, { kind: 'runners', engine: streamEngine, runners: this.#listed });
  }

  #progress(
    now: number,
    kind: 'prefilled' | 'started' | 'finished' | 'released',
    index: number,
  ): void {
    const id = this.#granted[index % Math.max(1, this.#granted.length)];
    if (id === undefined) return;
    if (kind === 'prefilled') {
      this.#handle(now, { kind, id, ms: 100, unreachable: undefined, shedBy: undefined });
    } else if (kind === 'started') this.#handle(now, { kind, id });
    else {
      this.#granted.splice(this.#granted.indexOf(id), 1);
      if (kind === 'finished') this.#handle(now, { kind, id, outputTokens: 100 });
      else this.#handle(now, { kind, id, blame: undefined });
    }
  }

  #handle(now: number, event: PlanEvent): void {
    for (const action of this.#planner.handle(now, event)) this.#check(now, action);
  }

  #check(now: number, action: PlanAction): void {
    const { id, kind } = action;
    if (kind === 'refuse') {
      const index = this.#granted.indexOf(id);
      if (index >= 0) this.#granted.splice(index, 1);
      return;
    }
    if (kind === 'grant') this.#granted.push(id);
    const chosen = kind === 'bind' ? [action.decode] : [action.grant.prefill, action.grant.decode];
    for (const one of chosen.filter((runnerId) => runnerId !== undefined)) {
      const until = this.#until.get(`${this.#vmOf.get(id)} ${one}`) ?? 0;
      const isListed = this.#listed.some((listed) => listed.id === one);
      if (until > now || !isListed) this.violations.push(`${now}: ${kind} ${id} ${one}`);
    }
  }
}

describe('the planner under random pauses of runners', () => {
  /* A request that is placed at a runner which wants none of its VM costs a prefill and an attempt. */
  test('places no request where its VM may not send it', () => {
    fc.assert(
      fc.property(history, (steps) => {
        const model = new Model();
        let now = 0;
        for (const { step: one, afterMs } of steps) {
          now += afterMs;
          model.take(now, one);
        }
        expect(model.violations).toEqual([]);
      }),
      { numRuns: 300 },
    );
  });
});
