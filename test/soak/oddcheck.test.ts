import type { CallerAnswer } from '../../scripts/soak/callers';
import { OddChecker } from '../../scripts/soak/oddcheck';
import type { SentRequest } from '../../scripts/soak/requests';

const VM = '127.0.0.1:8149';
const request = { id: 'r', deadlineMs: 1500 } as SentRequest;
const served = { outcome: 'served', status: 200, ms: 60 } as CallerAnswer;
const failed = { outcome: 'failed', status: 502, ms: 60 } as CallerAnswer;
const rejected = { outcome: 'refused', status: 429, ms: 60 } as CallerAnswer;

function checkerOf({ isSteady = true } = {}): OddChecker {
  return new OddChecker({ isSteady: () => isSteady });
}

/** Counts 200 attempts at either time, of which so many fail; returns what is found. */
function lossOf(failedBeside: number, failedWithout: number, other = served): string | undefined {
  const checker = checkerOf();
  for (let i = 0; i < 200; i += 1) {
    checker.count(true, i < failedBeside ? failed : other);
    checker.count(false, i < failedWithout ? failed : served);
  }
  return checker.finding;
}

describe('VMs beside odd entries', () => {
  // Guards against a check that takes a caller who left early for one that waited in vain, or blames a frozen VM.
  it('answer within the time limit', () => {
    const left = (ms: number): CallerAnswer => ({ ...served, outcome: 'left', status: 0, ms });
    expect({
      waited: checkerOf().answered(request, VM, left(3500)),
      'left early': checkerOf().answered(request, VM, left(900)),
      failed: checkerOf().answered(request, VM, { ...failed, ms: 3500 }),
      'frozen VM': checkerOf({ isSteady: false }).answered(request, VM, left(3500)),
    }).toEqual({ waited: `r at ${VM}: no answer 2000 ms after its limit of 1500 ms` });
  });

  // Guards against a check that misses lost requests, or counts rejections over a quota as such.
  it('serve plain requests as before', () => {
    expect({
      lost: lossOf(40, 4),
      few: lossOf(8, 0),
      'lost at all times': lossOf(40, 40),
      'over the quota': lossOf(0, 0, rejected),
    }).toEqual({ lost: 'beside odd entries 160 of 200 served, otherwise 196 of 200 served' });
  });
});
