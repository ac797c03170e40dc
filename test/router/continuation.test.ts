import type { ContinuationContext } from '../../src/node/router/continuation';
import { Continuation } from '../../src/node/router/continuation';
import { newProgress } from '../../src/node/router/progress';
import { exchangeInto } from '../fakes/exchange';

/** A preparation whose owner has not decided; `calls` is what was done in the retry budget. */
function pendingPreparation(): {
  readonly continuation: Continuation;
  readonly calls: readonly string[];
  readonly decide: () => Promise<void>;
} {
  const calls: string[] = [];
  let decided = (): void => {};
  const placed = new Promise<boolean>((resolve) => {
    decided = () => resolve(false);
  });
  const context = {
    placements: { recheck: () => undefined, place: () => placed },
    retries: { holdRun: () => calls.push('held') > 0, settle: () => calls.push('released') },
  } as unknown as ContinuationContext;
  const exchange = exchangeInto([]);
  const continuation = new Continuation(context, exchange, newProgress(exchange));
  const decide = async (): Promise<void> => {
    decided();
    await continuation.close();
  };
  return { continuation, calls, decide };
}

describe('what is set aside for a run that is not needed any more', () => {
  // Guards against another stream that asks the owner while this one is still being decided.
  test('is released once its owner has decided', async () => {
    const { continuation, calls, decide } = pendingPreparation();
    await continuation.take();
    const prepared = continuation.prepare('d1');
    await new Promise(setImmediate);
    continuation.cancel();
    await new Promise(setImmediate);
    expect(calls).toEqual(['held']);
    await decide();
    await prepared;
    expect(calls).toEqual(['held', 'released']);
  });

  // Guards against a next attempt whose prefill is paid and whose run is refused.
  test('is left to the next attempt that has begun', async () => {
    const { continuation, calls, decide } = pendingPreparation();
    await continuation.take();
    const prepared = continuation.prepare('d1');
    await new Promise(setImmediate);
    continuation.cancel();
    await continuation.take();
    await decide();
    await prepared;
    expect(calls).toEqual(['held']);
  });
});
