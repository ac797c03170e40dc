import { setImmediate as settle } from 'node:timers/promises';

import pino from 'pino';

import { FleetCensus } from '../../src/core/membership/census';
import { StoredFleetSize } from '../../src/node/router/storedfleetsize';
import { decodeFleetSize, encodeFleetSize } from '../../src/platform/records';

const HOUR_MS = 3_600_000;

/** The record at a VM that counts some VMs itself, and what it has written. */
class Reader {
  readonly writes: number[] = [];

  readonly census = new FleetCensus(0);

  readonly stored: StoredFleetSize;

  isReading = true;

  constructor(vms: number) {
    const members = Array.from({ length: vms }, (_, index) => ({
      vm: `vm${index}`,
      state: 'alive',
    }));
    this.census.update(0, members as unknown as Parameters<FleetCensus['update']>[1]);
    this.stored = new StoredFleetSize({
      census: this.census,
      archive: {
        save: async (count) => {
          this.writes.push(count);
        },
      },
      readsStore: () => this.isReading,
      random: () => 0.5,
      log: pino({ level: 'silent' }),
    });
    this.stored.stop();
  }

  /** Checks every half second for five seconds. */
  async check(from: number): Promise<readonly number[]> {
    for (let now = from; now <= from + 5000; now += 500) {
      this.stored.check(now);
      await settle();
    }
    return this.writes.splice(0);
  }
}

describe('the number of VMs in the store', () => {
  test('is written once by a reader that counts more', async () => {
    const reader = new Reader(7);
    expect(await reader.check(0)).toEqual([]);
    reader.stored.learn(0, 0);
    expect(await reader.check(0)).toEqual([7]);
    reader.stored.learn(0, 7);
    expect(await reader.check(6000)).toEqual([]);
    reader.stored.learn(0, 5);
    reader.isReading = false;
    expect(await reader.check(12_000)).toEqual([]);
  });

  // Guards against a part of a fleet that lowers the number for all.
  test('is lowered only by a VM that has run long enough to know', async () => {
    const reader = new Reader(7);
    reader.stored.learn(0, 9);
    expect(await reader.check(0)).toEqual([]);
    expect(reader.census.size(0)).toBe(9);
    expect(await reader.check(HOUR_MS)).toEqual([7]);
  });

  test('is read as it was written', () => {
    expect(decodeFleetSize(encodeFleetSize(195))).toBe(195);
    expect(() => decodeFleetSize('{"vms":0}')).toThrow('the number of VMs');
    expect(() => decodeFleetSize('{"vms":1e9}')).toThrow('the number of VMs');
  });
});
