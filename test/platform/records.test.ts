import { packConfig, unpackConfig } from '../../src/node/router/configwire';
import {
  decodeConfig,
  decodeFleetSize,
  decodeRunner,
  decodeSuspect,
  decodeVersions,
  decodeVm,
} from '../../src/platform/records';
import { entryOf } from '../fakes/entry';

/** The error for a valid entry with changed fields, or the decoded fields of the runner. */
function read(change: Readonly<Record<string, unknown>>): unknown {
  try {
    const { id, bornAt, role, leaving } = decodeRunner('i-1', JSON.stringify(entryOf(change)));
    return { id, bornAt, role, leaving };
  } catch (error) {
    return (error as Error).message;
  }
}

describe('the entry of a quarantined request', () => {
  const end = { runner: 'i-1', at: 1_700_000_000_000 };
  const readSuspect = (ends: unknown, fingerprint = 'f'): unknown => {
    try {
      return decodeSuspect(end.at, fingerprint, JSON.stringify({ ends })).ends.length;
    } catch (error) {
      return (error as Error).message;
    }
  };

  // Guards against an entry that no message between VMs can carry: what is told beside it was lost.
  test('is rejected if messages cannot carry it', () => {
    const odd = [
      readSuspect([end], 'f'.repeat(65)),
      readSuspect(Array.from({ length: 9 }, () => end)),
      readSuspect([{ ...end, runner: 'i'.repeat(301) }]),
      readSuspect([{ ...end, at: 1e308 }]),
      readSuspect([{ ...end, at: -1 }]),
    ];
    expect([readSuspect([end], 'f'.repeat(64)), ...odd]).toMatchInlineSnapshot(`
     [
       1,
       "request fffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff: found an id of 65 characters",
       "request f: at ends: Too big: expected array to have <=8 items",
       "request f: at ends.0.runner: Too big: expected string to have <=300 characters",
       "request f: at ends.0.at: Too big: expected number to be <=8640000000000000",
       "request f: at ends.0.at: Too small: expected number to be >=0",
     ]
    `);
  });
});

describe('the entry of a runner', () => {
  test('identifies one instance of the runner', () => {
    expect(read({ born: 1_700_000_000_123, stage: 'decode', state: 'draining' })).toEqual({
      id: 'i-1@1700000000123',
      bornAt: 1_700_000_000_123,
      role: 'decode',
      leaving: true,
    });
    expect(read({})).toEqual({ id: 'i-1', bornAt: 0, role: 'plain', leaving: false });
  });

  // Guards against runners that are all lost a day after their starts, if what remains of a start goes on counting below zero.
  test('is read of a runner that started long ago', () => {
    const monthMs = 30 * 24 * 3600 * 1000;
    expect(read({ 'cold-remaining-ms': -monthMs })).toEqual(read({}));
  });

  test('names the software version, a long one by its digest', () => {
    const versionOf = (version: string): string =>
      decodeRunner('i-1', JSON.stringify(entryOf({ version }))).version;
    expect(versionOf('v1.2')).toBe('v1.2');
    expect(versionOf('a'.repeat(1000))).toHaveLength(16);
    expect(versionOf('a'.repeat(1000))).not.toBe(versionOf('a'.repeat(1001)));
  });

  // Guards against entries whose parsing takes the time of the requests: three million brackets took 0.2 s at each read.
  test('is rejected before it is parsed if it is longer than any that a runner writes', () => {
    const text = `{"extra":${'['.repeat(3_000_000)}`;
    expect(() => decodeRunner('i-1', text)).toThrow('expected 65536 at most');
  });

  /*
   * Guards against entries of another writer under the runners' prefix. Accepted as a
   * runner, such an entry would get requests of callers, or add memory that does not exist.
   */
  test('is rejected if a field is missing, or has a wrong type, an unknown value or a number that cannot be true', () => {
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
      { slots: 65_536 },
      { slots: Number.MAX_SAFE_INTEGER },
      { state: 'asleep' },
      { stage: 'both' },
      { sequence: 1.5 },
      { born: 1.5 },
      { born: 'today' },
      { born: 1_700_000_000_123_000 },
      { sequence: Number.MAX_SAFE_INTEGER },
      { 'cold-remaining-ms': -1e308 },
      { service: 's'.repeat(201) },
      { zone: 'z'.repeat(201) },
      { 'cold-remaining-ms': null },
    ];
    expect(changes.map(read)).toMatchInlineSnapshot(`
     [
       "runner i-1: at service: Too small: expected string to have >=1 characters",
       "runner i-1: at service: Invalid input: expected string, received number",
       "runner i-1: at address: expected IPV4:PORT",
       "runner i-1: at address: expected IPV4:PORT",
       "runner i-1: at address: expected IPV4:PORT",
       "runner i-1: at slots: Too small: expected number to be >=1",
       "runner i-1: at slots: Invalid input: expected number, received string",
       "runner i-1: at slots: Too big: expected number to be <=65535",
       "runner i-1: at slots: Too big: expected number to be <=65535",
       "runner i-1: at state: Invalid option: expected one of "ready"|"draining"",
       "runner i-1: at stage: Invalid option: expected one of "prefill"|"decode"",
       "runner i-1: at sequence: Invalid input: expected int, received number",
       "runner i-1: at born: Invalid input: expected int, received number",
       "runner i-1: at born: Invalid input: expected number, received string",
       "runner i-1: at born: Too big: expected number to be <=4102444800000",
       "runner i-1: at sequence: Too big: expected number to be <=1000000000",
       "runner i-1: at cold-remaining-ms: Too small: expected number to be >=-4102444800000",
       "runner i-1: at service: Too big: expected string to have <=200 characters",
       "runner i-1: at zone: Too big: expected string to have <=200 characters",
       "runner i-1: at cold-remaining-ms: Invalid input: expected number, received null",
     ]
    `);
  });

  test.each(['', '[]', 'null', '{"service":', '"text"'])('is rejected for %j', (text) => {
    expect(() => decodeRunner('i-1', text)).toThrow('runner i-1');
  });
});

/** The error for a configuration whose customer has changed fields, or the decoded customer. */
function readCustomer(change: Readonly<Record<string, unknown>>): unknown {
  const entry = { name: 'ada', 'api-keys': ['key-1'], ...change };
  const text = JSON.stringify({ version: 1, routes: [], services: [], tenants: [entry] });
  try {
    return decodeConfig(text).customers?.[0];
  } catch (error) {
    return (error as Error).message;
  }
}

describe('the numbers of a configuration', () => {
  // Guards against timers that end at once, which answered each request of a route with 504, and against numbers that JSON has no text for, with which VMs passed on no configuration.
  test('are bounded so that timers keep to them and messages carry them', () => {
    const most = 1e308;
    const config = decodeConfig(
      JSON.stringify({
        version: 1,
        routes: [
          {
            name: 'r',
            host: 'h',
            'path-prefix': '/',
            kind: 'idempotent',
            'traffic-split': [{ service: 's', weight: most }],
            'timeout-ms': most,
            'target-latency-ms': most,
            'gap-target-ms': most,
          },
        ],
        services: [
          {
            name: 's',
            'max-connections': most,
            engine: {
              slots: Number.MAX_SAFE_INTEGER,
              'kv-capacity-tokens': most,
              stride: most,
              'kv-hold-s': most,
              'switch-s': most,
            },
          },
        ],
        tenants: [{ name: 'c', 'rate-per-s': most, burst: most, 'plain-tokens': most }],
        limits: { 'max-body-bytes': most, 'header-timeout-ms': most, 'idle-timeout-ms': most },
      }),
    );
    expect(unpackConfig(packConfig(config))).toEqual(config);
    expect(config).toMatchInlineSnapshot(`
     {
       "customers": [
         {
           "keys": [],
           "name": "c",
           "quota": {
             "burst": 1000000000000000,
             "plainTokens": 1000000000,
             "ratePerS": 1000000000000000,
             "unit": "requests",
           },
         },
       ],
       "limits": {
         "bodyBytes": 2147483647,
         "headerTimeoutMs": 2147483647,
         "idleTimeoutMs": 2147483647,
       },
       "routes": [
         {
           "aimMs": 2147483647,
           "anonymous": false,
           "attempts": 1,
           "gapMs": 2147483647,
           "host": "h",
           "kind": "repeatable",
           "name": "r",
           "patienceMs": 2147483647,
           "prefix": "/",
           "priority": 5,
           "resumable": false,
           "targets": [
             {
               "service": "s",
               "weight": 1000000000,
             },
           ],
           "timeoutMs": 2147483647,
         },
       ],
       "services": [
         {
           "connections": 1000000000,
           "engine": {
             "eventTokens": 1000000000,
             "keepMs": 2147483647,
             "memoryTokens": 1000000000,
             "slots": 65535,
             "switchMs": 2147483647,
           },
           "name": "s",
         },
       ],
       "version": 1,
     }
    `);
  });
});

describe('the customers of a configuration', () => {
  // Guards against quotas of large customers that are cut to less than what they are allowed.
  test('have as much as their quota names', () => {
    const quota = { unit: 'tokens', 'rate-per-s': 18_000_000, burst: 3_600_000_000 };
    const { customers } = decodeConfig(
      JSON.stringify({ version: 1, routes: [], services: [], tenants: [{ name: 'c', ...quota }] }),
    );
    expect(customers?.[0]?.quota).toMatchObject({ ratePerS: 18_000_000, burst: 3_600_000_000 });
  });

  test('have digests instead of keys, and a quota only if they have a rate', () => {
    const whole = {
      priority: 1,
      unit: 'tokens',
      'plain-tokens': 200,
      'rate-per-s': 50,
      burst: 70,
    };
    expect([readCustomer(whole), readCustomer({ 'api-keys': ['', ''], burst: 70 })])
      .toMatchInlineSnapshot(`
     [
       {
         "keys": [
           "vil0VGl443OebW2oXEvp8zTOMt8rn9S2_xtVwNV-nUQ",
         ],
         "name": "ada",
         "quota": {
           "burst": 70,
           "plainTokens": 200,
           "ratePerS": 50,
           "unit": "tokens",
         },
         "rank": 1,
       },
       {
         "keys": [],
         "name": "ada",
       },
     ]
    `);
  });

  test('are defined if the configuration has a list of them, even an empty one', () => {
    const decode = (rest: object): unknown =>
      decodeConfig(JSON.stringify({ version: 1, routes: [], services: [], ...rest })).customers;
    expect([decode({}), decode({ tenants: [] })]).toEqual([undefined, []]);
  });

  /* A partly applied list would admit more or less than the operator allowed. */
  test('make the configuration unreadable if one of them is invalid', () => {
    const changes = [
      { name: undefined },
      { name: '' },
      { 'api-keys': 'key-1' },
      { 'api-keys': [7] },
      { 'rate-per-s': -1 },
      { 'rate-per-s': 'many' },
      { burst: null },
      { unit: 'bytes' },
      { 'plain-tokens': -1 },
      { priority: 'first' },
    ];
    expect(changes.map(readCustomer)).toMatchInlineSnapshot(`
     [
       "the configuration: at tenants.0.name: Invalid input: expected string, received undefined",
       "the configuration: at tenants.0.name: Too small: expected string to have >=1 characters",
       "the configuration: at tenants.0.api-keys: Invalid input: expected array, received string",
       "the configuration: at tenants.0.api-keys.0: Invalid input: expected string, received number",
       "the configuration: at tenants.0.rate-per-s: Too small: expected number to be >=0",
       "the configuration: at tenants.0.rate-per-s: Invalid input: expected number, received string",
       "the configuration: at tenants.0.burst: Invalid input: expected number, received null",
       "the configuration: at tenants.0.unit: Invalid option: expected one of "requests"|"tokens"",
       "the configuration: at tenants.0.plain-tokens: Too small: expected number to be >=0",
       "the configuration: at tenants.0.priority: Invalid input: expected number, received string",
     ]
    `);
    const twice = { version: 1, routes: [], services: [], tenants: [{ name: 'a' }, { name: 'a' }] };
    expect(() => decodeConfig(JSON.stringify(twice))).toThrow('found a duplicate name');
  });
});

describe('entries of the store', () => {
  const nested = '['.repeat(524_288) + ']'.repeat(524_288);
  const decoders: Readonly<Record<string, (text: string) => unknown>> = {
    runner: (text) => decodeRunner('i-1', text),
    VM: (text) => decodeVm('vm-1', text),
    suspect: (text) => decodeSuspect(0, 'f', text),
    versions: decodeVersions,
    fleet: decodeFleetSize,
  };

  // Guards against a value of the largest size, nested as deeply as that allows, which takes a third of the heap once parsed.
  test.each(Object.entries(decoders))('are not parsed if they are too long: %s', (_, decode) => {
    expect(() => decode(nested)).toThrow('found 1048576 characters, expected 65536 at most');
    expect(() => decode('['.repeat(65_536))).toThrow('found invalid JSON');
  });
});
