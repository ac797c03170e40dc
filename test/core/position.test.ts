import { StoreHistory, isLater, latest, ordinalOf } from '../../src/core/routing/position';
import { at } from '../fakes/position';

describe('a position in the history of the store', () => {
  test('is ordered by its era before its revision, as one number too', () => {
    const early = at(900, 1);
    const late = at(7, 2);
    expect([isLater(late, early), isLater(early, late), isLater(late, late)]).toEqual([
      true,
      false,
      false,
    ]);
    expect(ordinalOf(late)).toBeGreaterThan(ordinalOf(early));
    expect(latest([early, late, at(3, 2)])).toEqual(late);
  });
});

describe('the history that a VM knows', () => {
  test('takes what was written up to the first revision seen of an era for older', () => {
    const history = new StoreHistory();
    expect(history.apply([at(50, 4)])).toBe(false);
    expect([history.positionOf(50), history.positionOf(51)]).toEqual([at(50), at(51, 4)]);
  });

  /* Another VM read the store sooner after its return: what was written between is of the new era beyond doubt. */
  test('goes by the earliest start of an era that any VM saw', () => {
    const history = new StoreHistory();
    history.apply([at(50, 4)]);
    expect(history.apply([at(40, 4)])).toBe(false);
    expect(history.apply([at(60, 4)])).toBe(false);
    expect(history.positionOf(45)).toEqual(at(45, 4));
  });

  /*
   * The store comes back twice in a row. An entry that the second copy still has from
   * before the first return was taken for one of between the two: later than the removal
   * of its runner, which came into use again.
   */
  test('takes an entry of before two returns for one of before both', () => {
    const history = new StoreHistory();
    history.apply([at(10, 1)]);
    expect(history.apply([at(30, 2)])).toBe(true);
    expect(history.apply([at(35, 3)])).toBe(true);
    expect([20, 32, 36].map((revision) => history.positionOf(revision))).toEqual([
      at(20, 1),
      at(32, 2),
      at(36, 3),
    ]);
  });
});
