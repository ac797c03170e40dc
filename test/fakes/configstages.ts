/** Stages of a request at which the configuration may change, each brought about at a scripted VM. */

import { setTimeout as pause } from 'node:timers/promises';

import { digestOfKey } from '../../src/core/customers/keys';
import type { Route, RoutingConfig, Runner } from '../../src/core/routing/types';
import { partFingerprints } from '../../src/core/fingerprint';
import { waitUntil } from './cluster';
import { streamEngine, streamRoute } from './exchange';
import { runnerOf } from './runner';
import type { RunnerCall } from './runnercall';
import type { CallerRequest, ScriptedVm } from './scriptedvm';

/** Engine of which a decode runner has memory for one request. */
export const smallEngine = { ...streamEngine, memoryTokens: 3000, keepMs: 1000 };

/** A quota that no request reaches. */
export const quota = {
  unit: 'tokens',
  ratePerS: 1e5,
  burst: 1e5,
  plainTokens: 100,
} as const;

/** A route to a service, below a path of its name. */
export function routeTo(service: string, name: string, change: Partial<Route> = {}): Route {
  const prefix = `/${name}/`;
  const targets = [{ service, weight: 1 }];
  return { ...streamRoute, name, host: 'h.example', prefix, targets, attempts: 3, ...change };
}

/** Each service and the one to which its routes and runners move. */
export const moves: Readonly<Record<string, string>> = { s: 't', p: 'q' };

/** Two model services `s` and `t`, two plain ones `p` and `q`, and routes to `s` and `p`. */
export const baseConfig: RoutingConfig = {
  version: 0,
  routes: [
    routeTo('s', 'stream', { resumable: true }),
    routeTo('p', 'plain', { kind: 'repeatable' }),
    routeTo('p', 'once', { kind: 'once' }),
  ],
  services: ['s', 't', 'p', 'q'].map((name) => {
    const engine = name === 's' || name === 't' ? smallEngine : undefined;
    return { name, connections: 100, engine };
  }),
  customers: [{ name: 'a', keys: [digestOfKey('k')], quota }],
  limits: { bodyBytes: 1000, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 },
};

const runnersFor = (service: string, role: Runner['role']): readonly Runner[] =>
  ['1', '2'].map((turn) => runnerOf(`${service}-${role}${turn}`, role, { service, slots: 1 }));

/** Two runners of each kind for each service. */
export const runners: readonly Runner[] = [
  ...['s', 't'].flatMap((service) => [
    ...runnersFor(service, 'prefill'),
    ...runnersFor(service, 'decode'),
  ]),
  ...['p', 'q'].flatMap((service) => runnersFor(service, 'plain')),
];

const headers = { authorization: 'Bearer k', 'token-usage': '900,400', 'prompt-prefix': 'p:900' };
/** Time in which a request comes to rest at its stage, in milliseconds. */
const SETTLE_MS = 50;
/** Load of a runner that is full. */
const load = { running: 1, waiting: 4, slots: 1, slowness: 1 };
const limited = { rateNotice: { kind: 'limited', ratePerS: 3 } } as const;

/** A request at a stage. `proceed` has it go on after the change; a request that it returns takes its place. */
export interface StagedRequest {
  readonly request: CallerRequest;
  readonly proceed: () => unknown;
}

/** Brings a request to a stage. */
export type Stage = (vm: ScriptedVm) => Promise<StagedRequest>;

/** The stage in which a request is at a runner; `index` is that of its call. */
function atRunner(path: string, index: number, proceed: (call: RunnerCall) => void): Stage {
  return async (vm) => {
    const request = vm.begin(path, headers).finish();
    for (let before = 0; before < index; before += 1) (await vm.callAt(before)).prefilled();
    const call = await vm.callAt(index);
    return { request, proceed: () => proceed(call) };
  };
}

/** The stage in which the caller has two of five events. */
function inStream(
  proceed: (call: RunnerCall, vm: ScriptedVm, caller: CallerRequest) => unknown,
): Stage {
  return async (vm) => {
    const request = vm.begin('/stream/1', headers).finish();
    (await vm.callAt(0)).prefilled();
    const call = await vm.callAt(1);
    call.head();
    call.events(1, 2);
    await pause(SETTLE_MS);
    return { request, proceed: () => proceed(call, vm, request) };
  };
}

function inBody(path: string): Stage {
  return async (vm) => {
    const request = vm.begin(path, headers);
    await vm.taken(1);
    return { request, proceed: () => request.finish() };
  };
}

/** Waits at the owner: two other requests have all memory. */
const waiting: Stage = async (vm) => {
  const others = [1, 2].map(() => vm.begin('/stream/0', headers).finish());
  for (let index = 0; index < 4; index += 1) {
    const call = await vm.callAt(index);
    if (call.kind === 'prefill') call.prefilled();
  }
  const request = vm.begin('/stream/1', headers).finish();
  await vm.taken(3);
  await pause(SETTLE_MS);
  const proceed = async (): Promise<void> => {
    vm.calls.filter(({ kind }) => kind === 'decode').forEach((call) => call.answer());
    await Promise.all(others.map(({ answer }) => answer));
    vm.calls[4]?.prefilled();
  };
  return { request, proceed };
};

/** Is held: the only plain runner is full. A busy process may outlast the report of its load, so that nothing is held. */
const held: Stage = async (vm) => {
  vm.list(runners.filter(({ id }) => id !== 'p-plain2'));
  for (;;) {
    const index = vm.calls.length;
    vm.begin('/plain/0', headers).finish();
    const other = await vm.callAt(index);
    other.head({ load });
    const request = vm.begin('/plain/1', headers).finish();
    await vm.taken(2);
    await pause(SETTLE_MS);
    const sent = vm.calls.slice(index + 1);
    if (sent.length === 0) return { request, proceed: () => other.end() };
    other.end();
    sent.forEach((call) => call.answer());
    await request.answer;
  }
};

/** Waits for a permit: all plain runners are at their rate limits. */
const unpermitted: Stage = async (vm) => {
  const answerAll = (): void => vm.calls.forEach((call) => call.answer(limited));
  for (let index = 0; index < 2; index += 1) {
    vm.begin('/plain/0', headers).finish();
    await vm.callAt(index);
  }
  answerAll();
  await pause(700);
  for (;;) {
    const before = vm.calls.length;
    const request = vm.begin('/plain/1', headers).finish();
    await vm.taken(1);
    await pause(SETTLE_MS);
    if (vm.calls.length === before) return { request, proceed: () => {} };
    answerAll();
  }
};

/**
 * Waits for the result of another one's trial. A busy process may outlast the time after which the
 * prefill on trial is given up for one at another runner.
 */
const untried: Stage = async (vm) => {
  for (let round = 0; ; round += 1) {
    const part = `p${round}`;
    partFingerprints({ service: 's', model: '', version: 'v1' }, [part]).forEach((one) =>
      vm.suspect(one),
    );
    const index = vm.calls.length;
    const suspected = { ...headers, 'prompt-prefix': `${part}:900` };
    const onTrial = vm.begin('/stream/0', suspected).finish();
    const other = await vm.callAt(index);
    const request = vm.begin('/stream/1', suspected).finish();
    await vm.taken(2);
    await pause(SETTLE_MS);
    if (!other.dispatch.signal.aborted) return { request, proceed: () => other.prefilled() };
    [onTrial, request].forEach((one) => one.leave());
    await waitUntil('nothing held', async () => (await vm.held()) === 0, 3000);
  }
};

/** The stages by name. */
export const stages: Readonly<Record<string, Stage>> = {
  'body of a stream': inBody('/stream/1'),
  'body of a plain one': inBody('/plain/1'),
  'trial of another one': untried,
  waiting,
  prefill: atRunner('/stream/1', 0, (call) => call.prefilled()),
  'prefill that is lost': atRunner('/stream/1', 0, (call) => call.fail('answerLost')),
  decode: atRunner('/stream/1', 1, (call) => call.answer()),
  'decode that is rejected': atRunner('/stream/1', 1, (call) => call.misdirect()),
  stream: inStream((call) => {
    call.events(3, 5);
    call.end();
  }),
  'stream that breaks': inStream((call) => call.cut()),
  'stream that is taken up': inStream((_call, vm, caller) => {
    caller.leave();
    return vm.begin('/stream/1', { ...headers, resumes: 'q1', 'last-event-id': '2' }).finish();
  }),
  plain: atRunner('/plain/1', 0, (call) => call.answer()),
  'plain that fails': atRunner('/plain/1', 0, (call) => call.cut()),
  'once that is not sent': atRunner('/once/1', 0, (call) => call.fail('runnerUnreachable')),
  held,
  unpermitted,
};
