import { StoreHistory, isLater, latest, ordinalOf } from '../../src/core/routing/position';
import { positionAt } from '../fakes/position';

describe('a position in the history of the store', () => {
  test('is ordered by era and then by revision, also as one number', () => {
    const early = positionAt(900, 1);
    const late = positionAt(7, 2);
    expect([isLater(late, early), isLater(early, late), isLater(late, late)]).toEqual([
      true,
      false,
      false,
    ]);
    expect(ordinalOf(late)).toBeGreaterThan(ordinalOf(early));
    expect(latest([early, late, positionAt(3, 2)])).toEqual(late);
  });
});

describe('the known history of the store', () => {
  test('assigns revisions up to the first one seen of an era to earlier eras', () => {
    const history = new StoreHistory();
    expect(history.apply([positionAt(50, 4)])).toBe(false);
    expect([history.positionOf(50), history.positionOf(51)]).toEqual([
      positionAt(50),
      positionAt(51, 4),
    ]);
  });

  /* Another VM read the store earlier after its restore: entries written in between certainly belong to the new era. */
  test('uses the earliest start of an era that any VM has seen', () => {
    const history = new StoreHistory();
    history.apply([positionAt(50, 4)]);
    expect(history.apply([positionAt(40, 4)])).toBe(false);
    expect(history.apply([positionAt(60, 4)])).toBe(false);
    expect(history.positionOf(45)).toEqual(positionAt(45, 4));
  });

  /*
   * The store is restored twice in a row. An entry that the second copy still has from
   * before the first restore was assigned to the era between the two, which put it after
   * the removal of its runner, so the runner came into use again.
   */
  test('assigns an entry from before two restores to the era before both', () => {
    const history = new StoreHistory();
    history.apply([positionAt(10, 1)]);
    expect(history.apply([positionAt(30, 2)])).toBe(true);
    expect(history.apply([positionAt(35, 3)])).toBe(true);
    expect([20, 32, 36].map((revision) => history.positionOf(revision))).toEqual([
      positionAt(20, 1),
      positionAt(32, 2),
      positionAt(36, 3),
    ]);
  });
});
