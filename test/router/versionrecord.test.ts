import { RecordFleet } from '../fakes/recordfleet';
import { seeded } from '../fakes/virtual/workload';

const READERS = 6;
/** Time from the first to the last kill that is tried, and between two, in milliseconds. */
const SPAN_MS = 3000;
const STEP_MS = 100;
/** Time of a write where the store is slow, in milliseconds. */
const SLOW_WRITE_MS = 600;

interface Release {
  /** Time from the start of the new version to the end of the old one, in milliseconds. */
  readonly overlapMs: number;
  /** Number of readers that are killed. */
  readonly killed: number;
  /** Time for which they are down, in milliseconds. */
  readonly downMs: number;
  /** Number of kills. */
  readonly kills: number;
  /** Whether the old version leaves only when all readers are down. */
  readonly leavesInKill: boolean;
}

/** Versions for which streams of another one are taken in a release with a kill at a time after its begin. */
async function mistakenAfter(killAt: number, release: Release): Promise<readonly string[]> {
  const { overlapMs, killed, downMs, kills, leavesInKill } = release;
  const fleet = new RecordFleet(seeded(killAt + 1));
  fleet.list('v1');
  fleet.start(READERS);
  await fleet.pass(10_000);
  const killsAt = Array.from({ length: kills }, (_, kill) => killAt + kill * (downMs + 1000));
  const leavesAt = leavesInKill ? killAt + downMs / 2 : 1000 + overlapMs;
  const schedule = [
    { at: 1000, act: () => fleet.list('v2') },
    { at: leavesAt, act: () => fleet.remove('v1') },
    ...killsAt.flatMap((at) => [
      { at, act: () => fleet.kill(killed) },
      { at: at + downMs, act: () => fleet.start(killed) },
    ]),
  ].sort((a, b) => a.at - b.at);
  const mistaken: string[] = [];
  let now = 0;
  for (const { at, act } of schedule) {
    mistaken.push(...(await fleet.pass(at - now)));
    now = at;
    act();
  }
  return [...mistaken, ...(await fleet.pass(5000))];
}

describe('after the readers of the store were killed at any moment of a release', () => {
  // Guards against streams that go on at the new version, since nothing tells of the old one.
  test.each<readonly [string, Release]>([
    [
      'all, and the old version left before',
      { overlapMs: 300, killed: READERS, downMs: 1000, kills: 1, leavesInKill: false },
    ],
    [
      'all, twice',
      { overlapMs: 1000, killed: READERS, downMs: 600, kills: 2, leavesInKill: false },
    ],
    [
      'all, and the old version left meanwhile',
      { overlapMs: 0, killed: READERS, downMs: 1400, kills: 1, leavesInKill: true },
    ],
    ['some, twice', { overlapMs: 500, killed: 4, downMs: 1000, kills: 2, leavesInKill: false }],
  ])(
    'none takes the version that is left for the only one there was: %s',
    async (_, release) => {
      const mistaken: number[] = [];
      for (let killAt = 0; killAt <= SPAN_MS; killAt += STEP_MS) {
        if ((await mistakenAfter(killAt, release)).length > 0) mistaken.push(killAt);
      }
      expect(mistaken).toEqual([]);
    },
    30_000,
  );

  // Guards against streams of a version that was gone again before it was recorded.
  test('none takes the old version for the only one after the new one served for a second', async () => {
    const mistaken: number[] = [];
    for (let killAt = 0; killAt <= SPAN_MS; killAt += STEP_MS) {
      const fleet = new RecordFleet(seeded(killAt + 1));
      fleet.list('v1');
      fleet.start(READERS);
      await fleet.pass(10_000);
      fleet.list('v2');
      await fleet.pass(Math.min(killAt, 1000));
      fleet.remove('v2');
      await fleet.pass(Math.max(0, killAt - 1000));
      fleet.kill(READERS);
      await fleet.pass(1000);
      fleet.start(READERS);
      if ((await fleet.pass(5000)).length > 0) mistaken.push(killAt);
    }
    expect(mistaken).toEqual([]);
  }, 30_000);

  // Guards against streams that begin before their version is recorded, and against a record that loses one to a reader that knows less.
  test('none takes the old version for the only one after two others served, beside slow writes', async () => {
    const mistaken: number[] = [];
    for (let killAt = 0; killAt <= SPAN_MS; killAt += STEP_MS) {
      const fleet = new RecordFleet(seeded(killAt + 1), SLOW_WRITE_MS);
      const changes = [
        { at: 0, act: () => fleet.list('v2') },
        { at: 300, act: () => fleet.list('v3') },
        { at: 900, act: () => fleet.remove('v2') },
        { at: 1200, act: () => fleet.remove('v3') },
      ].filter(({ at }) => at <= killAt);
      fleet.list('v1');
      fleet.start(READERS);
      let now = -10_000;
      for (const { at, act } of [...changes, { at: killAt, act: () => fleet.kill(READERS) }]) {
        await fleet.pass(at - now);
        now = at;
        act();
      }
      for (const version of ['v2', 'v3']) fleet.remove(version);
      await fleet.pass(1000);
      fleet.start(READERS);
      if ((await fleet.pass(5000)).length > 0) mistaken.push(killAt);
    }
    expect(mistaken).toEqual([]);
  }, 30_000);
});
