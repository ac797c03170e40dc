import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { Demand, PlanAction } from '../../src/core/memory/types';
import type { Runner } from '../../src/core/routing/types';
import { fromWireDemand, toWireDemand } from '../../src/node/router/messages';
import { demandOf } from '../fakes/demand';
import { streamEngine as engine } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';

const runner = (id: string, version: string): Runner => runnerOf(id, 'decode', { version });
const prefill = runnerOf('p1', 'prefill');

function plannerOf(decode: readonly Runner[]): Planner {
  const planner = new Planner(planPolicy);
  planner.handle(0, { kind: 'runners', engine, runners: [prefill, ...decode] });
  return planner;
}

/** The demand of a request that continues a stream which a version began. */
function resumeOf(id: string, now: number, version: string): Demand {
  return demandOf(id, now, { resuming: true, dueAt: now, version });
}

function ask(planner: Planner, now: number, demand: Demand): readonly PlanAction[] {
  return planner.handle(now, { kind: 'asked', demand });
}

function decodeOf(actions: readonly PlanAction[]): readonly string[] {
  return actions.map((action) =>
    action.kind === 'grant' ? action.grant.decode : `${action.kind} ${action.id}`,
  );
}

describe('the planner, for a request that continues a stream', () => {
  test('reserves only at runners of the version that began it', () => {
    const planner = plannerOf([runner('d1', 'v1'), runner('d2', 'v2'), runner('d3', 'v2')]);
    const decodes = [0, 1, 2].flatMap((index) =>
      decodeOf(ask(planner, index, resumeOf(`q${index}`, index, 'v1'))),
    );
    expect(decodes).toEqual(['d1', 'd1', 'd1']);
  });

  // Guards against requests that are held to their deadlines although nothing can serve them.
  test('refuses it at once if no runner has that version, or only one that it must avoid', () => {
    const planner = plannerOf([runner('d1', 'v1'), runner('d2', 'v2')]);
    expect(decodeOf(ask(planner, 0, resumeOf('gone', 0, 'v0')))).toEqual(['refuse gone']);
    const avoiding = { ...resumeOf('avoiding', 1, 'v1'), avoid: ['d1'] };
    expect(decodeOf(ask(planner, 1, avoiding))).toEqual(['refuse avoiding']);
  });

  test('refuses it at once if no runner of that version has memory before its caller leaves', () => {
    const planner = plannerOf([runner('d1', 'v1'), runner('d2', 'v2')]);
    const { memoryTokens } = engine;
    planner.handle(0, { kind: 'reported', report: { runner: 'd1', usedTokens: memoryTokens } });
    expect(decodeOf(ask(planner, 1, resumeOf('q', 1, 'v1')))).toEqual(['refuse q']);
    expect(decodeOf(ask(planner, 2, resumeOf('other', 2, 'v2')))).toEqual(['d2']);
  });

  // Guards against requests that wait in vain behind others for the last runner of their version.
  test('refuses it at once if its turn does not come before its caller leaves', () => {
    const planner = plannerOf([runner('d1', 'v1'), runner('d2', 'v2')]);
    const actions = Array.from({ length: 60 }, (_, index) =>
      ask(planner, 0, resumeOf(`q${index}`, 0, 'v1')),
    ).flat();
    const refused = actions.filter(({ kind }) => kind === 'refuse').length;
    expect(planner.waiting + planner.placed + refused).toBe(60);
    // The runner's memory holds about ten requests at a time, and callers wait for a few turns at most.
    expect(refused).toBeGreaterThanOrEqual(20);
    expect(planner.waiting).toBeGreaterThan(0);
  });

  // Guards against an ejection that leaves a version without any runner while others have some.
  test('uses an ejected runner if it is the only one of that version', () => {
    const planner = plannerOf([runner('d1', 'v1'), runner('d2', 'v2'), runner('d3', 'v2')]);
    ask(planner, 0, resumeOf('q', 0, 'v1'));
    planner.handle(1, { kind: 'released', id: 'q', blame: 'd1' });
    expect(planner.ejected(2)).toEqual(['d1']);
    expect(decodeOf(ask(planner, 2, resumeOf('q2', 2, 'v1')))).toEqual(['d1']);
    expect(decodeOf(ask(planner, 3, demandOf('new', 3)))).not.toEqual(['d1']);
  });

  test('learns the version from another VM', () => {
    const { vm, returned, ...sent } = resumeOf('q', 0, 'v1');
    expect(fromWireDemand(0, vm, toWireDemand(0, sent))).toEqual({ ...sent, vm, returned });
  });
});
