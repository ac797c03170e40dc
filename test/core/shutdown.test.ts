import { mayTake, shutdownOf } from '../../src/core/shutdown';

const shutdown = shutdownOf(0, { graceMs: 8000, addressTtlMs: 1000 });

describe('a VM that was told to stop', () => {
  /* Guards against a stream that a caller sends by an old look-up answer and that is cut off before its end. */
  test('takes late requests only if they end before it cuts them off', () => {
    const limitsMs = [1500, 4600, 14_000];
    const taken = [0, 2600, 2800, 3200, 4800].map((now) => ({
      now,
      limitsMs: limitsMs.filter((limitMs) => mayTake(now, shutdown, now + limitMs)),
    }));
    expect(taken).toMatchInlineSnapshot(`
      [
        {
          "limitsMs": [
            1500,
            4600,
            14000,
          ],
          "now": 0,
        },
        {
          "limitsMs": [
            1500,
            4600,
            14000,
          ],
          "now": 2600,
        },
        {
          "limitsMs": [
            1500,
            4600,
          ],
          "now": 2800,
        },
        {
          "limitsMs": [
            1500,
          ],
          "now": 3200,
        },
        {
          "limitsMs": [
            1500,
          ],
          "now": 4800,
        },
      ]
    `);
  });

  test('has as much time as its grace period and the look-up answers give it', () => {
    expect(shutdown).toMatchInlineSnapshot(`
      {
        "acceptsUntil": 6600,
        "addressedUntil": 2700,
        "beganAt": 0,
        "cutOffAt": 7600,
        "endsBy": 7400,
      }
    `);
  });

  /* Guards against a stream that is taken by a VM that handled its signal late, and ends with the kill. */
  test('takes none that the kill would cut off if the signal came when it was last idle', () => {
    const late = shutdownOf(1500, { graceMs: 8000, addressTtlMs: 1000 }, 0);
    const { beganAt, cutOffAt, ...times } = late;
    expect({ ...times, isCutAfter: cutOffAt - shutdown.cutOffAt }).toEqual({
      addressedUntil: shutdown.addressedUntil,
      acceptsUntil: shutdown.acceptsUntil,
      endsBy: shutdown.endsBy,
      isCutAfter: 1500,
    });
  });
});
