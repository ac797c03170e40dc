import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { EraReader } from '../../src/platform/era';
import { positionAt } from '../fakes/position';

/** An era reader together with the messages that it logs. */
class Readings {
  readonly history = new StoreHistory();

  readonly lines: string[] = [];

  readonly #reader: EraReader;

  constructor() {
    const log = pino({ base: null }, { write: (line) => this.lines.push(JSON.parse(line).msg) });
    this.#reader = new EraReader(this.history, log);
  }

  get latest(): number {
    return this.#reader.latest;
  }

  read(text: string | undefined): number | string | undefined {
    try {
      return this.#reader.read(text);
    } catch (error) {
      return (error as Error).message;
    }
  }
}

describe('the era of an answer', () => {
  test('increases, and is 0 if the store sends none', () => {
    const readings = new Readings();
    expect([undefined, '3', '3', '5'].map((text) => readings.read(text))).toEqual([0, 3, 3, 5]);
    expect(readings.lines).toEqual([]);
  });

  /*
   * Guards against a proxy between the VMs and the store that drops or changes the header.
   * Entries are still read, all of them each time, and each different value is logged once.
   */
  test('is undefined if it is missing or not a number, and the latest known era stays', () => {
    const readings = new Readings();
    const texts = ['4', undefined, undefined, 'four', '-1', '4.5', '9999999999', '4', undefined];
    expect(texts.map((text) => readings.read(text))).toEqual([
      4,
      undefined,
      undefined,
      undefined,
      undefined,
      undefined,
      undefined,
      4,
      undefined,
    ]);
    expect(readings.latest).toBe(4);
    expect(readings.lines).toMatchInlineSnapshot(`
     [
       "[504] found era none, expected a number from 4 on",
       "[504] found era four, expected a number from 4 on",
       "[504] found era -1, expected a number from 4 on",
       "[504] found era 4.5, expected a number from 4 on",
       "[504] found era 9999999999, expected a number from 4 on",
       "[504] found era none, expected a number from 4 on",
     ]
    `);
  });

  /* A response that was in flight while the store was restored from an older copy has state that no longer exists. */
  test('must not be earlier than the latest era seen by any VM', () => {
    const readings = new Readings();
    readings.read('4');
    readings.history.apply([positionAt(9, 6)]);
    expect(readings.read('4')).toBe('found era 4, expected a number from 6 on');
    expect(readings.read('6')).toBe(6);
    expect(readings.latest).toBe(6);
  });
});
