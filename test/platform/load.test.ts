import type { IncomingMessage } from 'node:http';

import { loadOf } from '../../src/platform/load';

function loadIn(value: string | undefined): unknown {
  return loadOf({ headers: { 'server-load': value } } as unknown as IncomingMessage);
}

describe('the load that a runner reports', () => {
  test('is read with its slowness as a factor, which may be missing', () => {
    expect([loadIn('5,2,6,250'), loadIn(' 0, 0 ,6 ')]).toEqual([
      { running: 5, waiting: 2, slots: 6, slowness: 2.5 },
      { running: 0, waiting: 0, slots: 6, slowness: undefined },
    ]);
  });

  /* A runner with no slots or no slowness would be chosen for every request or divide by zero. */
  test('is undefined if the header is missing, twice in a response or malformed', () => {
    const values = [
      undefined,
      '',
      '5,2',
      '5,2,0,100',
      '5,2,65536,100',
      '5,2,6,0',
      '5,2,6,-100',
      '5,2,6,1e9',
      '5,2,6,x',
      '5,2,6,',
      '1.5,2,6',
      '5,2,6,100, 5,2,6,100',
    ];
    expect(values.map(loadIn)).toEqual(values.map(() => undefined));
  });
});
