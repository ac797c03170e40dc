import { StoreOutages } from '../../src/core/routing/outages';
import { positionAt } from '../fakes/position';

const HEARTBEAT_MS = 1000;

/** The grace of an entry that is missing in the first list after an answer. */
const graceAfter = (outages: StoreOutages, now: number, confirmedAt = -Infinity): number => {
  outages.answered(now, confirmedAt);
  outages.listed(positionAt(9));
  return outages.graceMs(now, positionAt(9));
};

describe('an entry that is missing after calls to the store failed', () => {
  // Guards against work for runners that left while a watch was cut, and sound ones that are dropped after an outage.
  test.each([
    [100, 0],
    [1700, 0],
    [1750, 2500],
    [60_000, 2500],
  ])('has a grace by the time for which the store was silent: %i ms', (silentMs, graceMs) => {
    const outages = new StoreOutages(HEARTBEAT_MS);
    outages.answered(1000, -Infinity);
    for (let failure = 0; failure < 5; failure += 1) outages.failed();
    expect(graceAfter(outages, 1000 + silentMs)).toBe(graceMs);
  });

  test('has none if no call failed, however long the last answer is ago', () => {
    const outages = new StoreOutages(HEARTBEAT_MS);
    outages.answered(0, -Infinity);
    expect(graceAfter(outages, 60_000)).toBe(0);
  });

  test('has none if the store answered another VM meanwhile', () => {
    const outages = new StoreOutages(HEARTBEAT_MS);
    outages.answered(0, -Infinity);
    outages.failed();
    expect(graceAfter(outages, 10_000, 9000)).toBe(0);
  });

  test('has none in the first list of a VM that knows of no earlier answer', () => {
    const outages = new StoreOutages(HEARTBEAT_MS);
    outages.began();
    outages.failed();
    expect(graceAfter(outages, 10_000)).toBe(0);
  });

  // Guards against a VM that reads in place of others which lost the store, and drops all runners at once.
  test.each([
    [2000, 0],
    [4000, 0],
    [6000, 2500],
  ])('has one by what a new reader knows of the last answer: %i ms ago', (agoMs, graceMs) => {
    const outages = new StoreOutages(HEARTBEAT_MS);
    outages.began();
    expect(graceAfter(outages, 10_000, 10_000 - agoMs)).toBe(graceMs);
    outages.answered(16_000, 10_000);
    expect(outages.graceMs(16_000, positionAt(12))).toBe(0);
  });

  test('has a short one later on, and none after the time in which runners come back', () => {
    const outages = new StoreOutages(HEARTBEAT_MS);
    outages.answered(0, -Infinity);
    outages.failed();
    expect(graceAfter(outages, 5000)).toBe(2500);
    expect(outages.graceMs(6000, positionAt(10))).toBe(1000);
    expect(outages.graceMs(8000, positionAt(11))).toBe(0);
  });
});
