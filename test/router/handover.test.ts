import fc from 'fast-check';

import type { HandoverStep } from '../fakes/virtual/handover';
import { Handover } from '../fakes/virtual/handover';

const nat = fc.nat(20);
const step: fc.Arbitrary<HandoverStep> = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant('ask' as const),
      vm: nat,
      prompt: fc.integer({ min: 200, max: 6000 }),
      output: fc.integer({ min: 20, max: 600 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('move' as const), vm: nat, owner: nat }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('lose' as const),
      count: fc.integer({ min: 1, max: 4 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('leave' as const), request: nat }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), runner: nat }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('die' as const), vm: nat }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('freeze' as const),
      owner: nat,
      forMs: fc.integer({ min: 100, max: 5000 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      ms: fc.integer({ min: 25, max: 1500 }),
    }),
  },
);
/** Time in which everything that was lost is mended and every run is over, in milliseconds. */
const QUIET_MS = 24_000;

/** Requests of a burst for each of the steps that asked. */
const BURST = 6;

/** What is left when nothing happens any more. */
function leftAfter(steps: readonly HandoverStep[]): unknown {
  const world = new Handover();
  for (const one of steps) world.take(one);
  world.settle();
  world.run(QUIET_MS);
  const { open, counted, memory } = world;
  return { open, counted, memory };
}

const nothing = {
  open: 0,
  counted: [
    { waiting: 0, placed: 0 },
    { waiting: 0, placed: 0 },
  ],
  // The part that is never given out.
  memory: [0.01, 0.01],
};

describe('planners that take a service over from each other', () => {
  /*
   * Messages are lost, owners freeze, VMs go by one owner and then by the other, callers leave,
   * VMs and runners end. Whatever the order: no request waits for ever, and no memory counts for ever.
   */
  test('leave nothing behind, whatever happens', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), (steps) => {
        expect(leftAfter(steps)).toEqual(nothing);
      }),
      { numRuns: 200, seed: 1 },
    );
  }, 120_000);

  /* One owner that has known all for a while gives out no more than there is. */
  test('give out no more than there is once all is known', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), (steps) => {
        const world = new Handover();
        for (const one of steps) world.take(one);
        world.settle();
        world.run(QUIET_MS);
        for (const one of steps.filter(({ kind }) => kind === 'ask')) {
          for (let i = 0; i < BURST; i += 1) world.take(one);
          world.take({ kind: 'pass', ms: 100 });
        }
        expect(world.mostKnown).toBeLessThanOrEqual(1);
      }),
      { numRuns: 100, seed: 2 },
    );
  }, 120_000);
});
