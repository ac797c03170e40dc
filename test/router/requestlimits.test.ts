import { setTimeout as pause } from 'node:timers/promises';

import { waitUntil } from '../fakes/cluster';
import { baseConfig, runners } from '../fakes/configstages';
import { exchangeInto, promptRequest, streamRoute } from '../fakes/exchange';
import { ScriptedVm } from '../fakes/scriptedvm';

jest.setTimeout(20_000);

const LIMIT_MS = streamRoute.timeoutMs;

describe('the time limit of a request whose body arrives slowly', () => {
  // Guards against a request that is held past its limit by the time that its body took.
  test('counts from its headers', async () => {
    const exchange = exchangeInto([], promptRequest, streamRoute, 's', 100 - LIMIT_MS);
    expect(exchange.signal.aborted).toBe(false);
    await waitUntil('the end of its limit', () => exchange.signal.aborted, LIMIT_MS / 2);
  });

  // Guards against a runner's work for a request whose limit is over, which then counts as run.
  test.each(['/plain/1', '/once/1', '/stream/1'])(
    'may be over before it is sent: %s',
    async (path) => {
      const vm = new ScriptedVm();
      await vm.start({ ...baseConfig, customers: undefined }, runners);
      const request = vm.begin(path, { 'request-deadline-ms': '100' });
      await pause(200);
      const { status, whole, body } = await request.finish().answer;
      await vm.stop();
      const seen = {
        status,
        whole,
        notRun: body.includes('"notRun":true'),
        calls: vm.calls.length,
      };
      expect(seen).toEqual({ status: 503, whole: true, notRun: true, calls: 0 });
    },
  );
});

describe('a time limit that is longer than a timer', () => {
  // Guards against requests that are ended at once: Node's timers take such delays for 1 ms.
  test.each(['/plain/1', '/stream/1'])('does not end a request: %s', async (path) => {
    const routes = baseConfig.routes.map((route) => ({ ...route, timeoutMs: 2 ** 31 + 100 }));
    const vm = new ScriptedVm();
    await vm.start({ ...baseConfig, routes, customers: undefined }, runners);
    const request = vm.begin(path, { 'request-deadline-ms': '1e12' }).finish();
    await vm.callAt(0);
    await pause(100);
    vm.calls.forEach((call) => call.answer());
    vm.answerAll();
    const { status, whole } = await request.answer;
    await vm.stop();
    expect({ status, whole }).toEqual({ status: 200, whole: true });
  });
});
