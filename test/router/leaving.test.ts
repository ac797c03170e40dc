import { NO_NOTICE } from '../../src/core/routing/notice';
import type { Runner } from '../../src/core/routing/types';
import { instanceId } from '../../src/core/routing/types';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { DecodeDispatch, Dispatch, Reply } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { positionAt } from '../fakes/position';
import { runnerOf } from '../fakes/runner';
import {
  directPaths,
  retriesOf,
  unlimitedPermits,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';
import { VmState } from '../fakes/vmstate';

/** An answer that announces it. */
const leavingReply = (change: Partial<Reply> = {}): Reply => ({
  ...replyOf(200, ''),
  notice: { ...NO_NOTICE, leaving: true },
  ...change,
});

const idsAt = ({ state }: VmState, now: number): readonly string[] =>
  state.runnersOf(now, 's').map(({ id }) => id);

const a = runnerOf('a', 'plain');
const b = runnerOf('b', 'plain');

describe('a runner that announces in an answer that it leaves', () => {
  test('gets no work from then on, and the other VMs hear of it', () => {
    const vm = new VmState([a, b]);
    vm.answered(a, leavingReply());
    vm.answered(a, leavingReply());
    expect(idsAt(vm, 0)).toEqual(['b']);
    expect(vm.announced).toEqual([
      { id: 'a', position: positionAt(1), runner: { ...a, leaving: true } },
    ]);
    const other = new VmState([a, b]);
    other.state.learnRunners(0, vm.announced, 'peer');
    expect(idsAt(other, 0)).toEqual(['b']);
    expect(other.state.digest).toEqual(vm.state.digest);
  });

  /* The store does not know yet: it is down, and later lists the runner with another heartbeat or address. */
  test('is not used again for an entry, a peer or a copy of the store that says otherwise', () => {
    const vm = new VmState([a]);
    vm.answered(a, leavingReply());
    vm.list(a, 1);
    vm.list({ ...a, slots: 8 }, 7);
    vm.state.learnRunners(0, [{ id: 'a', position: positionAt(0), runner: a }], 'peer');
    vm.state.learnEras(0, [{ era: 1, revision: 0 }], 'store');
    vm.state.learnRunners(0, [{ id: 'a', position: positionAt(1, 1), runner: a }], 'store');
    expect(idsAt(vm, 0)).toEqual([]);
  });

  /* Its lease expired while the store was down, so that it stays in use for some seconds. */
  test('is not used for the rest of its grace period after its entry has vanished', () => {
    const vm = new VmState([a, b]);
    vm.state.storeAnswered(-1000);
    vm.state.storeFailed();
    vm.state.storeAnswered(1500);
    vm.state.learnList(1500, new Set(['b']), positionAt(8));
    expect(idsAt(vm, 1600)).toEqual(['a', 'b']);
    vm.answered(a, leavingReply());
    expect(idsAt(vm, 1600)).toEqual(['b']);
    vm.list(a, 9, 1700);
    expect(idsAt(vm, 1800)).toEqual(['b']);
  });

  /* A runner starts again under its listing while an answer of the earlier instance is under way. */
  test('says nothing of another instance under the same listing', () => {
    const started = (bornAt: number): Runner =>
      runnerOf('a', 'plain', { id: instanceId('a', bornAt), bornAt });
    const vm = new VmState([started(1000)]);
    vm.list(started(2000), 2);
    vm.answered(started(1000), leavingReply());
    expect(idsAt(vm, 0)).toEqual(['a@2000']);
    vm.answered(started(2000), leavingReply());
    expect(idsAt(vm, 0)).toEqual([]);
    vm.list(started(3000), 3);
    expect(idsAt(vm, 0)).toEqual(['a@3000']);
  });

  test.each<[string, Partial<Reply>]>([
    ['is that of another instance', { misdirected: true, notRun: true, genuine: false }],
    ['lacks the signature', { genuine: false }],
  ])('is not believed if the answer %s', (_case, change) => {
    const vm = new VmState([a]);
    vm.answered(a, leavingReply(change));
    expect(idsAt(vm, 0)).toEqual(['a']);
  });

  test('is believed if the answer is a rejection, which has no signature, or that to a prefill', () => {
    const prefill = runnerOf('p', 'prefill');
    const vm = new VmState([a, prefill]);
    vm.answered(a, leavingReply({ status: 503, notRun: true, genuine: false }));
    vm.answered(prefill, leavingReply({ genuine: false }));
    expect(idsAt(vm, 0)).toEqual([]);
  });
});

describe('a run', () => {
  /* Whatever chose the runner, and whenever: a choice may be older than the answer. */
  test.each([
    ['leaves', leavingReply()],
    [
      'asked for a pause',
      { ...replyOf(503, ''), notRun: true, notice: { ...NO_NOTICE, backoffMs: 500 } },
    ],
  ])('does not begin at a runner that %s', (_case, reply) => {
    const vm = new VmState([a, b]);
    const exchange = exchangeInto([]);
    const begin = (): unknown => vm.runs.begin(performance.now(), exchange, a);
    expect(begin).not.toThrow();
    vm.answered(a, reply);
    expect(begin).toThrow('a takes no requests');
    exchange.end();
  });
});

/** Serves one model request while some answers announce that their runners leave; returns what was sent. */
async function serve(
  runners: readonly Runner[],
  leavesWith: (dispatch: Dispatch | DecodeDispatch) => readonly Runner[],
  grants: readonly { readonly prefill?: string; readonly decode: string }[],
  moveTo: string,
  repeats = 0,
): Promise<{ readonly sent: readonly string[]; readonly outcome: string | undefined }> {
  const retries = retriesOf(repeats);
  const vm = new VmState(runners, retries);
  const sent: string[] = [];
  const out: string[] = [];
  const reply = replyOf(200, 'id: 1\n\n');
  const send = (kind: string, dispatch: Dispatch): void => {
    sent.push(`${kind} ${dispatch.runner.id}`);
    for (const one of leavesWith(dispatch)) vm.answered(one, leavingReply());
  };
  let reserved = 0;
  const context = {
    routingState: vm.state,
    runners: {
      prefill: async (dispatch: Dispatch) => {
        send('prefill', dispatch);
        return { address: 'p:80', handle: 'h' };
      },
      decode: async (dispatch: DecodeDispatch) => {
        send(`decode ${dispatch.cache?.handle}`, dispatch);
        return reply;
      },
      freeCache: async () => {
        sent.push('free');
      },
    },
    reservations: {
      reserve: async () => {
        const grant = grants[reserved];
        reserved += 1;
        return grant;
      },
      assign: async (
        _service: string,
        _id: string,
        _ms: number,
        _signal: AbortSignal,
        { unavailable }: { readonly unavailable?: string } = {},
      ) => (unavailable === undefined ? grants[reserved - 1]?.decode : moveTo),
      reportProgress: () => {},
    },
    runs: vm.runs,
    paths: directPaths,
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    origins: unrecordedOrigins,
    retries,
  } as unknown as ModelContext;
  const exchange = exchangeInto(out, promptRequest, { ...streamRoute, attempts: 1 });
  await new ModelHandler(context).run(exchange, streamEngine);
  return { sent, outcome: exchange.code ?? out.join(' ') };
}

describe('a model request whose runner leaves', () => {
  const p1 = runnerOf('p1', 'prefill');
  const p2 = runnerOf('p2', 'prefill');
  const d1 = runnerOf('d1', 'decode');
  const d2 = runnerOf('d2', 'decode');

  /* The decode runner announces it to another request between prefill and decode. No retry is charged, since nothing was sent. */
  test('keeps its KV cache and decodes at another runner', async () => {
    const { sent, outcome } = await serve(
      [p1, d1, d2],
      ({ runner }) => (runner.id === 'p1' ? [d1] : []),
      [{ prefill: 'p1', decode: 'd1' }],
      'd2',
    );
    expect(sent).toEqual(['prefill p1', 'decode h d2']);
    expect(outcome).toBe('200 id: 1\n\n');
  });

  /* The owner has not heard of it yet and assigns the runner again. A second prefill is charged to the retry budget, a first run is not. */
  test.each([
    [0, { decode: 'd2' }, ['decode undefined d2'], '200 id: 1\n\n'],
    [1, { prefill: 'p1', decode: 'd2' }, ['prefill p1', 'decode h d2'], '200 id: 1\n\n'],
    [0, { prefill: 'p1', decode: 'd2' }, [], 'retryBudgetSpent'],
  ])(
    'asks for another reservation where the owner knows no other decode runner, with %d retries left',
    async (repeats, grant, expected, outcome) => {
      const served = await serve(
        [p1, d1, d2],
        ({ runner }) => (runner.id === 'p1' ? [d1] : []),
        [{ prefill: 'p1', decode: 'd1' }, grant],
        'd1',
        repeats,
      );
      expect(served).toEqual({ sent: ['prefill p1', 'free', ...expected], outcome });
    },
  );

  /* The announcement came while the request waited for its reservation. */
  test('asks for another reservation where its prefill runner leaves', async () => {
    const { sent, outcome } = await serve(
      [{ ...p1, leaving: true }, p2, d1],
      () => [],
      [
        { prefill: 'p1', decode: 'd1' },
        { prefill: 'p2', decode: 'd1' },
      ],
      'd1',
    );
    expect(sent).toEqual(['prefill p2', 'decode h d1']);
    expect(outcome).toBe('200 id: 1\n\n');
  });
});
