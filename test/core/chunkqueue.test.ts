import fc from 'fast-check';

import { ChunkQueue, SLICE_BYTES } from '../../src/core/delivery/chunkqueue';

/** Size of a chunk: of a few events, about a slice, or several slices. */
const size = fc.oneof(
  fc.integer({ min: 0, max: 60 }),
  fc.integer({ min: SLICE_BYTES - 2, max: SLICE_BYTES + 2 }),
  fc.integer({ min: 2 * SLICE_BYTES, max: 3 * SLICE_BYTES }),
);
/** Sizes of chunks that are added, or the number of slices that are taken. */
const step = fc.oneof(fc.array(size, { maxLength: 20 }), fc.integer({ min: 0, max: 5 }));

describe('chunks that wait for a slow caller', () => {
  // Guards against responses with lost, repeated or exchanged bytes, and against a count that drifts.
  test('are taken as they were added, and the memory that they take is freed', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 20 }), (steps) => {
        const queue = new ChunkQueue();
        const added: Buffer[] = [];
        const taken: Buffer[] = [];
        let memory = 0;
        const take = (): boolean => {
          const slice = queue.take();
          if (!slice) return false;
          expect(slice.bytes.length).toBeGreaterThan(0);
          expect(slice.bytes.length).toBeLessThanOrEqual(SLICE_BYTES);
          taken.push(slice.bytes);
          memory -= slice.freed;
          return true;
        };
        for (const one of steps) {
          if (typeof one === 'number') for (let left = one; left > 0; left -= 1) take();
          else {
            for (const length of one) {
              // Neighbors differ, and so do slices of one chunk, whose size is no multiple of 7.
              const bytes = Buffer.from(String(added.length).padStart(7).repeat(length)).subarray(
                0,
                length,
              );
              added.push(bytes);
              memory += queue.push(bytes);
            }
          }
        }
        while (take());
        expect(Buffer.compare(Buffer.concat(taken), Buffer.concat(added))).toBe(0);
        expect([memory, queue.isEmpty]).toEqual([0, true]);
      }),
    );
  });

  // Guards against events of some ten bytes that take several times their size.
  test('take about as much memory as they have bytes', () => {
    const queue = new ChunkQueue();
    const takes = Array.from({ length: 10_000 }, () => queue.push(Buffer.alloc(80)));
    const memory = takes.reduce((sum, bytes) => sum + bytes, 0);
    expect(memory).toBe(Math.ceil(800_000 / SLICE_BYTES) * SLICE_BYTES);
  });
});
