import type { CallerAnswer } from '../../scripts/soak/callers';
import type { EndedAttempt } from '../../scripts/soak/quiet';
import { QuietChecker } from '../../scripts/soak/quiet';
import { SilenceLog } from '../../scripts/soak/silences';

const VM = '127.0.0.1:8149';

const attempt: EndedAttempt = {
  request: {
    id: 'r',
    kind: 'resumable',
    path: '/note/1',
    body: 'events=20',
    events: 20,
    deadlineMs: 6000,
    customer: 'ada',
    key: undefined,
    resumes: undefined,
  },
  vm: VM,
  sentAt: 0,
  runs: 1,
  hasBrokenOff: false,
  isEndOfStop: false,
};
const cut: CallerAnswer = {
  outcome: 'broken',
  status: 200,
  ms: 2000,
  retryAfterMs: undefined,
  sinceSentMs: 2000,
  kept: undefined,
  integrityError: undefined,
  newEvents: 12,
  versions: ['v1'],
};

/** Ends an attempt at 2000 ms at a runner that was silent from 900 ms on, unless the silence begins later. */
function endOf(
  answer: Partial<CallerAnswer>,
  change: Partial<EndedAttempt> = {},
  { silentFrom = 900, isUndisturbed = true, workedUntil = Infinity } = {},
): string | undefined {
  const log = new SilenceLog();
  const checker = new QuietChecker({
    log,
    isUndisturbed: () => isUndisturbed,
    isForwarded: () => false,
  });
  checker.arrived(100, 'r', 'i-1', 'decode');
  log.add(silentFrom, 'i-1', 1500);
  if (workedUntil < Infinity) checker.worked(workedUntil, 'r', 'i-1');
  return checker.answered(2000, { ...attempt, ...change }, { ...cut, ...answer });
}

describe('answers that end while their runner is silent', () => {
  // Guards against a check that excuses an answer cut because of a silence, or blames one that was not.
  it('breaks the promise unless something else explains the end', () => {
    expect({
      cut: endOf({}),
      failed: endOf({ outcome: 'failed', status: 502 }) !== undefined,
      'runner done during the silence': endOf({}, {}, { workedUntil: 1000 }) !== undefined,
      'runner done before': endOf({}, {}, { workedUntil: 800 }),
      'silent later': endOf({}, {}, { silentFrom: 2100 }),
      refused: endOf({ outcome: 'refused', status: 503 }),
      left: endOf({ outcome: 'left', status: 0 }),
      'at its limit': endOf({ outcome: 'failed', status: 504, ms: 5900 }),
      'runner ended': endOf({}, { hasBrokenOff: true }),
      'end of a stop': endOf({}, { isEndOfStop: true }),
      'other fault': endOf({}, {}, { isUndisturbed: false }),
    }).toEqual({
      cut: `r (resumable, run 1) at ${VM}: decode i-1 silent for 1100 ms, 12 events of 20, broken with 200 after 2000 ms`,
      failed: true,
      'runner done during the silence': true,
    });
  });
});
