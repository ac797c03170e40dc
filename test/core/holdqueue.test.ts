import type { HeldRequest } from '../../src/core/plain/holdqueue';
import { HoldQueue } from '../../src/core/plain/holdqueue';

interface Named extends HeldRequest {
  readonly name: string;
}

const SLOTS = 18;
/** A choice where all runners are full; a slot is expected in 40 ms, and a request takes 100 ms. */
const full = {
  expected: { waitMs: 40, finishMs: 140, inFlight: 8, slots: 6, slowness: 1 },
  areAllFull: true,
};
const free = { ...full, areAllFull: false };

const requestOf = (name: string, rank: number, deadlineAt: number): Named => ({
  name,
  rank,
  deadlineAt,
});

describe('requests that are held while all runners are full', () => {
  const [urgent, early, late] = [
    requestOf('urgent', 0, 3000),
    requestOf('early', 1, 1000),
    requestOf('late', 1, 2000),
  ] as [Named, Named, Named];

  // Guards against an order of arrival, in which urgent requests miss their targets.
  test('are sent by rank, then by deadline', () => {
    const queue = new HoldQueue<Named>();
    for (const one of [late, early, urgent]) queue.decide(0, one, full, 0, SLOTS);
    const order: string[] = [];
    while (queue.first) {
      const { first } = queue;
      const others = [late, early, urgent].filter((one) => one !== first);
      const left = others.filter((one) => !order.includes(one.name));
      const kinds = left.map((one) => queue.decide(1, one, free, 0, SLOTS).kind);
      expect(kinds).toEqual(left.map(() => 'wait'));
      expect(queue.decide(1, first, free, 0, SLOTS)).toEqual({ kind: 'send' });
      order.push(first.name);
    }
    expect(order).toEqual(['urgent', 'early', 'late']);
  });

  // A request held beside a free slot, or by an old report, is late without need.
  test('are none if a runner has room, or if no recent report shows that all are full', () => {
    const queue = new HoldQueue<Named>();
    const decisions = [
      queue.decide(0, early, free, 0, SLOTS),
      queue.decide(0, early, full, 301, SLOTS),
      queue.decide(0, early, full, undefined, SLOTS),
    ];
    expect([decisions, queue.size]).toEqual([Array(3).fill({ kind: 'send' }), 0]);
  });

  test('are rejected at once if they cannot end in time, and if the queue is too long', () => {
    const queue = new HoldQueue<Named>();
    const decision = queue.decide(0, requestOf('short', 0, 139), full, 0, SLOTS);
    expect(decision).toEqual({ kind: 'reject', retryAfterMs: 40 });
    const all = Array.from({ length: SLOTS }, (_, i) => requestOf(`${i}`, 1, 1000 + i));
    for (const one of [...all, urgent]) queue.decide(0, one, full, 0, SLOTS);
    expect(queue.overflow(SLOTS)?.name).toBe('17');
    expect([queue.overflow(SLOTS), queue.size, queue.first]).toEqual([undefined, 18, urgent]);
  });
});
