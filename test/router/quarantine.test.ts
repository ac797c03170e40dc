import { setTimeout as pause } from 'node:timers/promises';

import { DEADLY, Routers } from '../fakes/routers';

/** Time between two attempts of the caller, in milliseconds: news is with all VMs well before. */
const ATTEMPT_MS = 300;
const ATTEMPTS = 12;
/** Runners that a request may end before it is known for it. */
const ENDS = 3;
/** Sends to runners that may still follow after that. */
const LATE_SENDS = 3;

/*
 * Decode runners end one after the other, and the summaries on them are cut. One
 * request ends each runner that begins to run it, 80 ms after it was sent; its caller
 * gets 502 and sends it again, under a new id and to another VM. Every attempt was
 * taken for a first one: nothing held what runners had ended under. The log showed one
 * request without an event at each of nineteen ends, all on one route, and its prompt
 * read in 72 to 77 ms where a prefill runner had it a second time, else in some 275.
 */
describe('a request that ends each runner that begins to run it', () => {
  const routers = new Routers();

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  test.each(['/model/deadly', '/plain/deadly'])(
    'is kept from runners once it has ended three: %s',
    async (path) => {
      const endedBefore = routers.ended.length;
      const reached: number[] = [];
      const statuses: number[] = [];
      for (let turn = 0; turn < ATTEMPTS; turn += 1) {
        const before = routers.reached;
        const known = routers.ended.length - endedBefore >= ENDS;
        const { status } = await routers.ask(turn, path, DEADLY);
        if (known) reached.push(routers.reached - before);
        statuses.push(status);
        await pause(ATTEMPT_MS);
      }
      expect(reached.filter((sends) => sends > 0).length).toBeLessThanOrEqual(LATE_SENDS);
      expect(routers.ended.length - endedBefore).toBeLessThanOrEqual(ENDS + LATE_SENDS);
      expect(statuses.slice(-3)).toEqual([503, 503, 503]);
    },
    30_000,
  );
});
