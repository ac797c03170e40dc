import { setTimeout as pause } from 'node:timers/promises';

import { firstVms } from '../fakes/attempts';
import { Partition } from '../fakes/partition';
import type { CallerAnswer } from '../fakes/routers';
import { RouterCluster } from '../fakes/routers';

const VMS = 3;
/** How long sound runners are silent, in milliseconds. */
const SILENCE_MS = 1800;
/** How long requests run before a silence, in milliseconds. */
const RUNNING_MS = 200;
/** When requests arrive, in milliseconds after the silence began. */
const ARRIVALS_MS: readonly number[] = [0, 0, 0, 300, 500, 800, 1200, 1600];

describe('runners that hold all bytes for a moment', () => {
  let partition: Partition;
  let routers: RouterCluster;

  const start = async (runners: number): Promise<void> => {
    partition = new Partition();
    routers = new RouterCluster({ vms: VMS, runners, partition });
    await routers.start();
  };
  afterEach(() => routers.stop(), 30_000);

  const silence = async (isReached?: (address: string) => boolean): Promise<void> => {
    partition.cut(firstVms(VMS), 'silence', isReached);
    await pause(SILENCE_MS);
    partition.heal();
  };

  /** Sends requests at several times in a silence; the first ones are in progress when it begins. */
  async function answersOf(path: string): Promise<readonly CallerAnswer[]> {
    for (const role of ['plain', 'decode'] as const) {
      for (const runner of routers.runnersOf(role)) {
        runner.silentUntil = performance.now() + RUNNING_MS + SILENCE_MS / 2;
      }
    }
    const early = Array.from({ length: VMS }, (_, turn) =>
      routers.sendRequest(turn, `${path}early${turn}`, `early ${turn}`),
    );
    await pause(RUNNING_MS);
    const isOver = silence();
    // Connections that are sought in a silence find the paths lost.
    const late = Array.from({ length: VMS }, (_, turn) =>
      routers.sendRequest(turn, '/plain/late', `late ${turn}`),
    );
    await isOver;
    await Promise.all(late);
    return Promise.all(early);
  }

  /* The connections were given up 0.7 s after a new one failed, where no other runner could take the request. */
  test('answer plain requests that may be repeated', async () => {
    await start(1);
    const answers = await answersOf('/plain/');
    expect(answers.map(({ status, whole }) => [status, whole])).toEqual(
      answers.map(() => [200, true]),
    );
  }, 30_000);

  /* Requests were rejected while no connection to the only runner came about. */
  test.each(['/plain/', '/once/'])('answer %s requests that arrive meanwhile', async (path) => {
    await start(1);
    const silent = routers.runnersOf('plain').map(({ entry }) => JSON.stringify(entry));
    const isOver = silence((address) => !silent.some((entry) => entry.includes(address)));
    const answers = ARRIVALS_MS.map(async (ms, turn) => {
      await pause(ms);
      return routers.sendRequest(turn, `${path}${turn}`, `${turn}`);
    });
    await isOver;
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect(statuses).toEqual(ARRIVALS_MS.map(() => 200));
    const runs = routers.runnersOf('plain').flatMap((runner) => [...runner.runs]);
    const repeated = runs.filter(([ran, count]) => ran !== '/plain/warm' && count > 1);
    expect(repeated).toEqual([]);
  });
});
