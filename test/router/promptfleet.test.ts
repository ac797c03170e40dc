import type {
  PromptFleetOptions,
  PromptOutcome,
  PromptTraffic,
} from '../fakes/virtual/promptfleet';
import { PromptFleet } from '../fakes/virtual/promptfleet';

/** Duration of each run, in milliseconds. */
const RUN_MS = 30_000;
/** When requests with a fatal part begin to come, in milliseconds. */
const FATAL_FROM_MS = 5000;
/** Most requests with a fatal part that reach runners after the fifth crash, prefills included. */
const MAX_LATE_SENDS = 3;
/** Least share of any caller's sound requests that begin from six seconds after that crash on. */
const MIN_SHARE = 0.9;

const callerOf = (turn: number): string => `c${turn % 4}`;

const sound: PromptTraffic = { perS: 20, partsOf: (turn) => ['a', callerOf(turn)] };
const fatal: PromptTraffic = {
  perS: 2,
  from: FATAL_FROM_MS,
  partsOf: (turn) => ['a', callerOf(turn), 'f'],
};

/** What differs from four callers with sound requests and one fatal part. */
type Case = Partial<PromptFleetOptions>;

const cases: Readonly<Record<string, Case>> = {
  'one part': {},
  'one part before all others': {
    traffic: [sound, { ...fatal, partsOf: (turn) => ['f', 'a', callerOf(turn)] }],
  },
  'many requests': { traffic: [sound, { ...fatal, perS: 8 }] },
  'a third of the packets lost': { loss: 1 / 3 },
  'runners that crash by chance beside it': { chanceCrashesPerS: 0.7 },
  'two parts at once': {
    fatalParts: ['f', 'g'],
    traffic: [sound, fatal, { ...fatal, partsOf: (turn) => ['a', callerOf(turn), 'g'] }],
  },
  'two parts in one request': {
    fatalParts: ['f', 'g'],
    traffic: [sound, { ...fatal, partsOf: (turn) => ['a', callerOf(turn), 'f', 'g'] }],
  },
  'a caller whose first sound request comes later': {
    traffic: [
      sound,
      { ...fatal, partsOf: () => ['a', 'late', 'f'] },
      { perS: 2, from: FATAL_FROM_MS + 8000, partsOf: () => ['a', 'late'] },
    ],
  },
  'the part without that caller later': {
    traffic: [
      sound,
      { ...fatal, partsOf: () => ['a', 'late', 'f'] },
      { ...fatal, perS: 4, from: FATAL_FROM_MS + 10_000 },
    ],
  },
  'two parts of a caller whose first sound request comes later': {
    fatalParts: ['f', 'g'],
    traffic: [
      sound,
      { ...fatal, partsOf: (turn) => ['a', 'late', turn % 2 === 0 ? 'f' : 'g'] },
      { perS: 2, from: FATAL_FROM_MS + 8000, partsOf: () => ['a', 'late'] },
    ],
  },
  'from the first request on': {
    traffic: [sound, { ...fatal, from: 0 }],
  },
  'a new part of the caller in each request': {
    traffic: [
      { ...sound, partsOf: (turn) => ['a', `n${turn}`] },
      { ...fatal, partsOf: (turn) => ['a', `m${turn}`, 'f'] },
    ],
  },
};

const sizes: readonly (readonly [vms: number, seeds: readonly number[]])[] = [
  [7, [1, 2, 3, 4, 5, 6]],
  [66, [1, 2]],
];

function runFleet(vms: number, seed: number, change: Case): PromptOutcome {
  const base = { vms, runners: 16, seed, fatalParts: ['f'], traffic: [sound, fatal] };
  return new PromptFleet({ ...base, ...change }).run(RUN_MS);
}

/* Guards against a count that is not the fleet's, and against trials that the VMs grant each by itself. */
describe.each(sizes)('fatal prompt parts in a fleet of %d VMs', (vms, seeds) => {
  test.each(Object.entries(cases))(
    'are kept from runners: %s',
    (_, change) => {
      for (const seed of seeds) {
        const outcome = runFleet(vms, seed, change);
        const { lateSends, shareBegun } = outcome;
        const isGood = lateSends <= MAX_LATE_SENDS && shareBegun >= MIN_SHARE;
        expect({ seed, ...outcome, isGood }).toEqual({ seed, ...outcome, isGood: true });
      }
    },
    120_000,
  );

  test('do not come from runners that crash by chance', () => {
    for (const seed of seeds) {
      const outcome = runFleet(vms, seed, { traffic: [sound], chanceCrashesPerS: 1 });
      expect({ seed, rejected: outcome.rejected }).toEqual({ seed, rejected: 0 });
    }
  }, 120_000);
});
