import { resolveSettings } from '../../src/platform/settings';

const file = {
  'node-name': 'front-a-1',
  zone: 'a',
  ip: '10.1.0.38',
  listen: {
    front: '10.1.0.38:8149',
    ready: '10.1.0.38:8141',
    directory: '10.1.0.38:8143',
    control: '10.1.0.38:8144',
  },
  'internal-port-range': [7380, 7395],
  seeds: ['10.1.0.38:8144', '10.2.0.40:8144'],
  bounds: {
    'grace-s': 8,
    'retry-budget-ratio': 0.2,
    'budget-window-s': 10,
    'retry-budget-extra': 56,
    'lease-ms': 3000,
    ttl_max_s: 5,
    'not-known-yet': true,
  },
  limits: { 'cpu-share': 0.675, cores: 2 },
  platform: { address: '10.200.1.7:8142', form: 'kv' },
  'a-new-field': 1,
};

describe("the platform's settings file", () => {
  test('is converted to settings of the router; unknown fields are ignored', () => {
    const { router, store } = resolveSettings(JSON.stringify(file), 'boot.json');
    expect({ ...router, peerKey: router.peerKey.length, store }).toMatchInlineSnapshot(`
     {
       "addressTtlMs": 1000,
       "ages": {
         "finalMs": 2000,
         "keyMs": Infinity,
       },
       "buffers": {
         "responseBytes": 4194304,
         "stallMs": 5000,
         "vmBytes": 67108864,
       },
       "cores": 1.35,
       "domain": "a",
       "graceMs": 8000,
       "heartbeatMs": 1200,
       "isFirstStart": false,
       "leaseMs": 3000,
       "listen": {
         "directory": "10.1.0.38:8143",
         "front": "10.1.0.38:8149",
         "metrics": "10.1.0.38:9464",
         "ready": "10.1.0.38:8141",
       },
       "peer": "10.1.0.38:7380",
       "peerKey": 64,
       "quotas": {
         "overage": 0,
         "slack": 0,
         "wholeRuns": false,
         "windowMs": 10000,
       },
       "rateLimits": {
         "overage": 0.5,
         "slack": 5,
         "wholeRuns": true,
         "windowMs": 4000,
       },
       "retries": {
         "extra": 56,
         "ratio": 0.2,
         "windowMs": 10000,
       },
       "seeds": [
         "10.1.0.38:7380",
         "10.2.0.40:7380",
       ],
       "store": "10.200.1.7:8142",
       "vm": "front-a-1",
     }
    `);
  });

  /* A key must not be used after it was revoked because of work between the check of the clock and the send. */
  test('makes keys expire early if revocation is strict', () => {
    const bounds = { ...file.bounds, 'strict-revoke': true, 'revoke-ms': 4000 };
    const { router } = resolveSettings(JSON.stringify({ ...file, bounds }), 'boot.json');
    expect(router.ages).toEqual({ finalMs: 2000, keyMs: 3700 });
  });

  test('takes bounds of what is buffered for callers', () => {
    const limits = { 'response-buffer-bytes': 65_536, 'caller-buffer-bytes': 1_048_576 };
    const { router } = resolveSettings(JSON.stringify({ ...file, limits }), 'boot.json');
    expect(router.buffers).toEqual({ responseBytes: 65_536, vmBytes: 1_048_576, stallMs: 5000 });
  });

  /* A response that may buffer more than the VM would never reach its own bound. */
  test.each([
    { 'response-buffer-bytes': 65_535 },
    { 'response-buffer-bytes': 2_097_152, 'caller-buffer-bytes': 1_048_576 },
    { 'caller-buffer-bytes': 1_048_575 },
    { 'caller-stall-ms': 999 },
    { 'caller-stall-ms': '5000' },
  ])('is rejected with the bounds %j', (limits) => {
    expect(() => resolveSettings(JSON.stringify({ ...file, limits }), 'boot.json')).toThrow(
      expect.objectContaining({
        codeName: 'settingsInvalid',
        message: expect.stringMatching(/boot.json: at limits\.(response-buffer|caller)/),
      }),
    );
  });

  test('with an invalid field is rejected with its name and a code', () => {
    const wrong = { ...file, listen: { front: 'nowhere' } };
    expect(() => resolveSettings(JSON.stringify(wrong), 'boot.json')).toThrow(
      expect.objectContaining({
        codeName: 'settingsInvalid',
        message: expect.stringMatching(/boot.json: at listen.front/),
      }),
    );
  });

  test('that is not JSON is rejected', () => {
    expect(() => resolveSettings('{"ip": ', 'boot.json')).toThrow(
      expect.objectContaining({ codeName: 'fileMalformed' }),
    );
  });
});
