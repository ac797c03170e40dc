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
/** Time in which the state recovers from lost messages and every request ends, in milliseconds. */
const QUIET_MS = 24_000;

/** Requests in the burst made for each step of kind `ask`. */
const BURST_SIZE = 6;

/** State that remains after the steps once all activity has ended. */
function stateAfter(steps: readonly HandoverStep[]): unknown {
  const world = new Handover();
  for (const one of steps) world.apply(one);
  world.endFaults();
  world.run(QUIET_MS);
  const { open, counts, reservedMemory: memory } = world;
  return { open, counted: counts, memory };
}

const emptyState = {
  open: 0,
  counted: [
    { waiting: 0, placed: 0 },
    { waiting: 0, placed: 0 },
  ],
  // This share of the memory is never given out.
  memory: [0.01, 0.01],
};

describe('planners that take over a service from each other', () => {
  /*
   * Messages are lost, owners freeze, VMs switch between owners, callers disconnect, VMs and
   * runners crash. In any order of these events, no request may wait forever, and no memory may
   * stay reserved forever.
   */
  test('leave no requests or reservations behind after any sequence of faults', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), (steps) => {
        expect(stateAfter(steps)).toEqual(emptyState);
      }),
      { numRuns: 200, seed: 1 },
    );
  }, 120_000);

  /* A single owner with complete state reserves no more memory than the runners have. */
  test('reserve no more memory than there is once their state is complete', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), (steps) => {
        const world = new Handover();
        for (const one of steps) world.apply(one);
        world.endFaults();
        world.run(QUIET_MS);
        for (const one of steps.filter(({ kind }) => kind === 'ask')) {
          for (let i = 0; i < BURST_SIZE; i += 1) world.apply(one);
          world.apply({ kind: 'pass', ms: 100 });
        }
        expect(world.maxUsage).toBeLessThanOrEqual(1);
      }),
      { numRuns: 100, seed: 2 },
    );
  }, 120_000);
});
