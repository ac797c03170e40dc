import { decodeRunner } from '../../src/platform/facts';
import { entryOf } from '../fakes/entry';

/** What a change of a whole entry is read as: its error, or what it says of the runner. */
function read(change: Readonly<Record<string, unknown>>): unknown {
  try {
    const { id, bornAt, role, leaving } = decodeRunner('i-1', JSON.stringify(entryOf(change)));
    return { id, bornAt, role, leaving };
  } catch (error) {
    return (error as Error).message;
  }
}

describe('the entry of a runner', () => {
  test('names one start of it', () => {
    expect(read({ born: 1_700_000_000_123, stage: 'decode', state: 'draining' })).toEqual({
      id: 'i-1@1700000000123',
      bornAt: 1_700_000_000_123,
      role: 'decode',
      leaving: true,
    });
    expect(read({})).toEqual({ id: 'i-1', bornAt: 0, role: 'plain', leaving: false });
  });

  /*
   * Entries of another writer lie beside those of runners. Taken for a runner, one
   * would be sent requests of callers, or count as memory that is not there.
   */
  test('names no runner if a field is missing, of another type or unknown', () => {
    const fields = Object.keys(entryOf());
    const missing = fields.map((field) => read({ [field]: undefined }));
    expect(missing.filter((found) => typeof found !== 'string')).toEqual([]);
    const changes = [
      { service: '' },
      { service: 7 },
      { address: '10.0.0.1' },
      { address: '10.0.0.1:99999' },
      { address: 'elsewhere:80' },
      { slots: 0 },
      { slots: '32' },
      { state: 'asleep' },
      { stage: 'both' },
      { sequence: 1.5 },
      { born: 1.5 },
      { born: 'today' },
      { 'cold-remaining-ms': null },
    ];
    expect(changes.map(read)).toMatchInlineSnapshot(`
     [
       "runner i-1: at service: Too small: expected string to have >=1 characters",
       "runner i-1: at service: Invalid input: expected string, received number",
       "runner i-1: at address: no IPV4:PORT",
       "runner i-1: at address: no IPV4:PORT",
       "runner i-1: at address: no IPV4:PORT",
       "runner i-1: at slots: Too small: expected number to be >=1",
       "runner i-1: at slots: Invalid input: expected number, received string",
       "runner i-1: at state: Invalid option: expected one of "ready"|"draining"",
       "runner i-1: at stage: Invalid option: expected one of "prefill"|"decode"",
       "runner i-1: at sequence: Invalid input: expected int, received number",
       "runner i-1: at born: Invalid input: expected int, received number",
       "runner i-1: at born: Invalid input: expected number, received string",
       "runner i-1: at cold-remaining-ms: Invalid input: expected number, received null",
     ]
    `);
  });

  test.each(['', '[]', 'null', '{"service":', '"text"'])('names no runner in %j', (text) => {
    expect(() => decodeRunner('i-1', text)).toThrow('runner i-1');
  });
});
