import { backoffSchema, holdSchema } from '../../src/node/router/messages';
import { recordsSchema } from '../../src/node/router/originwire';
import { failuresOf, loadAnswerOf, loadAskOf } from '../../src/node/router/plainloadwire';

const long = 'i'.repeat(300);
/** The longest id that a runner's key and start time give. */
const longest = `${'i'.repeat(192)}@4102444800000`;
const report = [1, 0, 8, null, 5];
const demand = {
  id: 'r',
  rank: 0,
  promptTokens: 1,
  maxOutputTokens: 1,
  dueInMs: 1,
  gapMs: 0,
  lostInMs: 1,
  resuming: false,
  avoid: [longest, long, 'a'],
};

describe('a message between VMs with an odd item', () => {
  // Guards against an entry with a long id, or a number that is too large, which cost all that was told beside it.
  test('loses that item only', () => {
    const ended = [
      [long, [1, 0]],
      [longest, [1, 0]],
      ['a', [-1, 0]],
      ['b', [1, 2]],
    ];
    const holding = { ...demand, decode: 'a' };
    const read = {
      ask: loadAskOf({
        service: 's',
        seen: [
          [long, report],
          [longest, report],
          ['a', [1, 0, 1e308, null, 5]],
        ],
        sent: [
          [long, 1],
          ['a', -1],
          ['b', 1],
        ],
        ended,
        want: { ms: 1, avoid: [long, 'a'] },
      }),
      rows: loadAnswerOf({
        runner: longest,
        rows: [
          [long, 0, report, null],
          ['a', 1_000_000, report, null],
          ['b', 2, null, null],
        ],
      }).rows,
      failures: failuresOf({ service: 's', ended }).ended.map(({ runner }) => runner),
      holdings: holdSchema
        .parse({ service: 's', holdings: [{ ...holding, decode: long }, holding] })
        .holdings.map(({ decode, avoid }) => ({ decode, avoid })),
      backoffs: backoffSchema.parse({
        service: 's',
        backoffs: [
          { runner: long, ms: 1 },
          { runner: 'a', ms: -1 },
          { runner: 'b', ms: 1 },
        ],
      }).backoffs,
      records: recordsSchema.parse({
        records: [long, 'k'].map((key) => ({ service: 's', version: 'v', key })),
      }).records,
    };
    const result = [longest, [1, 0]];
    expect(read).toEqual({
      ask: {
        service: 's',
        seen: [[longest, report]],
        sent: [['b', 1]],
        ended: [result, ['b', [1, 2]]],
        want: { ms: 1, avoid: ['a'] },
      },
      rows: [['b', 2, null, null]],
      failures: [longest, 'b'],
      holdings: [{ decode: 'a', avoid: [longest, 'a'] }],
      backoffs: [{ runner: 'b', ms: 1 }],
      records: [{ service: 's', version: 'v', key: 'k' }],
    });
  });
});
