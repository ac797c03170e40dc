import fc from 'fast-check';

import { FairQueue } from '../../src/core/cell/shares';

describe('the fair queue', () => {
  test('serves teams by their weights while all wait', () => {
    const queue = new FairQueue<string>((team) => (team === 'clerks' ? 2 : 1), 0);
    for (let i = 0; i < 30; i += 1) ['clerks', 'lawyers'].forEach((team) => queue.push(team, team));
    const served = Array.from({ length: 15 }, () => queue.take(1));
    expect(served.filter((team) => team === 'clerks')).toHaveLength(10);
  });

  test('leaves no capacity idle for teams that are not there', () => {
    const queue = new FairQueue<string>(() => 1, 0);
    for (let i = 0; i < 5; i += 1) queue.push('clerks', `c${i}`);
    expect(Array.from({ length: 5 }, () => queue.take(1))).toEqual(['c0', 'c1', 'c2', 'c3', 'c4']);
  });

  /* The flood has a thousand entries queued; a team that comes now waits for the bounded credit, not for the flood. */
  test('bounds what a flood costs a team within its share', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 500 }),
        fc.integer({ min: 1, max: 20 }),
        (before, own) => {
          const queue = new FairQueue<string>(() => 1, 3);
          for (let i = 0; i < 1000; i += 1) queue.push('flood', 'flood');
          for (let i = 0; i < before; i += 1) queue.take(1);
          for (let i = 0; i < own; i += 1) queue.push('quiet', 'quiet');
          let taken = 0;
          for (let left = own; left > 0; taken += 1) if (queue.take(1) === 'quiet') left -= 1;
          expect(taken).toBeLessThanOrEqual(2 * own + 1);
        },
      ),
      { seed: 20261202 },
    );
  });

  test('foretells how many go before a new entry', () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom('a', 'b', 'c'), { minLength: 1, maxLength: 60 }),
        (teams) => {
          const queue = new FairQueue<string>(() => 1, 0);
          for (let i = 0; i < 200; i += 1) {
            queue.push('warm', 'warm');
            queue.take(1);
          }
          teams.forEach((team, i) => queue.push(team, `${i}`));
          const ahead = queue.countAhead('a');
          queue.push('a', 'new');
          let before = 0;
          while (queue.take(1) !== 'new') before += 1;
          expect(Math.abs(before - ahead)).toBeLessThanOrEqual(2);
        },
      ),
      { seed: 20261202 },
    );
  });

  test('keeps its count over any sequence', () => {
    const step = fc.tuple(
      fc.constantFrom('push', 'unshift', 'take', 'remove'),
      fc.constantFrom('a', 'b'),
      fc.integer({ min: 1, max: 9 }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const queue = new FairQueue<number>(() => 1, 2);
        let size = 0;
        for (const [what, team, n] of steps) {
          if (what === 'push') queue.push(team, n);
          if (what === 'unshift') queue.unshift(team, n);
          if (what === 'push' || what === 'unshift') size += 1;
          if (what === 'take' && queue.take(n) !== undefined) size -= 1;
          if (what === 'remove' && queue.remove(team, n)) size -= 1;
          expect(queue.size).toBe(size);
        }
      }),
      { seed: 20261202 },
    );
  });
});
