import fc from 'fast-check';

import type { BufferBounds } from '../../src/core/delivery/buffers';
import { FREE_BYTES, ResponseBuffers } from '../../src/core/delivery/buffers';

const KIB = 1024;
const bounds: BufferBounds = { responseBytes: 400 * KIB, vmBytes: 1000 * KIB, stallMs: 5000 };

const buffersOf = (): ResponseBuffers<string> => new ResponseBuffers(() => bounds);

describe('a response of which much is unread', () => {
  // Guards against one slow caller that takes the memory of all.
  test('is held back at its own bound until its caller reads', () => {
    const buffers = buffersOf();
    buffers.added(0, 'a', 400 * KIB);
    expect([buffers.heldBy('a'), buffers.heldBy('b')]).toEqual(['response', undefined]);
    buffers.read(10, 'a', 16 * KIB);
    expect(buffers.heldBy('a')).toBeUndefined();
  });

  // Guards against callers at a usual pace that are held back because others fill the VM's buffers.
  test('is held back at the bound of the VM, others are not', () => {
    const buffers = buffersOf();
    for (const slow of ['a', 'b', 'c']) buffers.added(0, slow, 333 * KIB);
    buffers.added(0, 'd', FREE_BYTES - 1);
    expect(['a', 'd', 'e'].map((one) => buffers.heldBy(one))).toEqual(['vm', undefined, undefined]);
    buffers.remove('c');
    expect(buffers.heldBy('a')).toBeUndefined();
  });
});

describe('the callers to disconnect', () => {
  test('are none below the bounds, however long they read nothing', () => {
    const buffers = buffersOf();
    buffers.added(0, 'a', 399 * KIB);
    expect(buffers.stalled(3_600_000)).toEqual([]);
  });

  // Guards against the disconnection of a slow caller that reads.
  test('do not include those that read a part of a chunk', () => {
    const buffers = buffersOf();
    buffers.added(0, 'a', 500 * KIB);
    buffers.read(4000, 'a', 0);
    expect(buffers.stalled(8999)).toEqual([]);
    expect(buffers.stalled(9000)).toMatchInlineSnapshot(`
     [
       {
         "bound": "response",
         "bytes": 512000,
         "response": "a",
         "silentMs": 5000,
       },
     ]
    `);
  });

  // Guards against the disconnection of all slow callers after the VM was frozen.
  test('do not include those that read nothing while the process did not run', () => {
    const buffers = buffersOf();
    buffers.added(0, 'a', 500 * KIB);
    buffers.paused(60_000);
    buffers.added(61_000, 'b', 500 * KIB);
    expect(buffers.stalled(64_999)).toEqual([]);
    expect(buffers.stalled(65_000).map(({ response }) => response)).toEqual(['a']);
    expect(buffers.stalled(66_000).map(({ response }) => response)).toEqual(['a', 'b']);
  });

  // Guards against the disconnection of more callers than the bound calls for.
  test('are the longest silent ones, and no more than bring the VM below its bound', () => {
    const buffers = buffersOf();
    for (const [index, caller] of ['a', 'b', 'c', 'd'].entries()) {
      buffers.added(index * 100, caller, 300 * KIB);
    }
    buffers.read(4000, 'a', 10 * KIB);
    expect(buffers.stalled(6000).map(({ response, bound }) => `${response} ${bound}`)).toEqual([
      'b vm',
    ]);
  });

  // Guards against memory without a bound: after the disconnections, a silent caller holds none beyond it.
  test('leave the VM below its bound unless callers have read lately', () => {
    const step = fc.record({
      caller: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
      kib: fc.integer({ min: 1, max: 500 }),
      readKib: fc.option(fc.nat(500), { nil: undefined }),
      ms: fc.integer({ min: 0, max: 3000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const buffers = buffersOf();
        const held: Record<string, number> = {};
        const readAt: Record<string, number> = {};
        let now = 0;
        for (const { caller, kib, readKib, ms } of steps) {
          now += ms;
          if (!held[caller]) readAt[caller] = now;
          buffers.added(now, caller, kib * KIB);
          held[caller] = (held[caller] ?? 0) + kib * KIB;
          if (readKib !== undefined) {
            const read = Math.min(held[caller], readKib * KIB);
            buffers.read(now, caller, read);
            held[caller] -= read;
            readAt[caller] = now;
          }
        }
        const silentMs = (caller: string): number => now - (readAt[caller] ?? 0);
        for (const stalled of buffers.stalled(now)) {
          expect(stalled.silentMs).toBe(silentMs(stalled.response));
          expect(stalled.silentMs).toBeGreaterThanOrEqual(bounds.stallMs);
          buffers.remove(stalled.response);
          held[stalled.response] = 0;
        }
        const left = Object.keys(held).filter((caller) => held[caller]);
        expect(buffers.bytes).toBe(left.reduce((sum, caller) => sum + (held[caller] ?? 0), 0));
        expect(buffers.size).toBe(left.length);
        const haveAllRead = left.every((caller) => silentMs(caller) < bounds.stallMs);
        expect(haveAllRead || buffers.bytes < bounds.vmBytes).toBe(true);
      }),
    );
  });
});
