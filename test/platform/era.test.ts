import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { EraReader } from '../../src/platform/era';
import { positionAt } from '../fakes/position';

/** Reads eras and keeps the lines that are logged about them. */
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
  test('grows, and is 0 of a store that tells none', () => {
    const readings = new Readings();
    expect([undefined, '3', '3', '5'].map((text) => readings.read(text))).toEqual([0, 3, 3, 5]);
    expect(readings.lines).toEqual([]);
  });

  /*
   * Something between the VMs and the store drops the header, or writes to it. What the
   * store holds is still read, whole each time, and the log has one line for each change.
   */
  test('is not known if it is missing or no number, and what was known stays', () => {
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

  /* An answer that was on its way while the store came back tells what was lost since. */
  test('must not be an earlier one than any VM saw', () => {
    const readings = new Readings();
    readings.read('4');
    readings.history.apply([positionAt(9, 6)]);
    expect(readings.read('4')).toBe('found era 4, expected a number from 6 on');
    expect(readings.read('6')).toBe(6);
    expect(readings.latest).toBe(6);
  });
});
