import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import { demandOf } from '../fakes/demand';
import { runnerOf as runner } from '../fakes/runner';

describe('a refusal', () => {
  /*
   * Without the reason and the forecast, the log of an overload does not show whether memory,
   * prefill runners or the order of the queue cost the request.
   */
  test('names the rank, the place in the queue, the forecast and the reason', () => {
    const planner = new Planner(planPolicy);
    const engine = {
      slots: 64,
      memoryTokens: 65_000,
      eventTokens: 7,
      keepMs: 500,
      switchMs: undefined,
    };
    const runners = [runner('p1', 'prefill'), runner('d1', 'decode')];
    planner.handle(0, { kind: 'runners', engine, runners });
    const [refusal] = Array.from({ length: 60 }, (_, i) =>
      planner.handle(0, { kind: 'asked', demand: demandOf(`r${i}`, 0) }),
    )
      .flat()
      .filter(({ kind }) => kind === 'refuse');
    expect(refusal).toMatchSnapshot();
  });
});
