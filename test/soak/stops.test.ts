import type { CallerAnswer } from '../../scripts/soak/callers';
import type { Breach, GuaranteeContext } from '../../scripts/soak/guarantees';
import { GuaranteeChecker } from '../../scripts/soak/guarantees';
import type { SentRequest } from '../../scripts/soak/requests';
import { digestOf } from '../../scripts/soak/requests';
import { SilenceLog } from '../../scripts/soak/silences';
import type { Arrival } from '../../scripts/soak/work';

const VM = '127.0.0.1:8149';
const request = { id: 'r', kind: 'stream', path: '/', body: '', events: 84, deadlineMs: 14_000 };
const broken = { outcome: 'broken', status: 200, ms: 7642, newEvents: 81, versions: ['v1'] };

/** A stream that was sent at a SIGTERM breaks off after 7.6 s; its runner ended its work before. Returns the breaches. */
function stopWith({ endedAt, silentFrom }: { endedAt: number; silentFrom: number }): unknown {
  jest.useFakeTimers({ now: 0 });
  const breaches: Breach[] = [];
  const silences = new SilenceLog();
  const checker = new GuaranteeChecker({
    silences,
    onBreach: (breach) => breaches.push(breach),
    unplannedFreeMs: () => Infinity,
    faultFreeMs: () => 0,
    isUndisturbed: () => false,
    quotaOf: () => undefined,
    revokedAt: () => undefined,
  } as Partial<GuaranteeContext> as GuaranteeContext);
  const sent = { ...request, customer: 'ada' } as Partial<SentRequest> as SentRequest;
  const run = { requestId: 'r', instanceId: 'i@1', role: 'decode', customer: 'ada' };
  const arrival = {
    ...run,
    hasKey: false,
    digest: digestOf('/', ''),
  } as Partial<Arrival> as Arrival;
  checker.setStopping(VM);
  checker.sent(sent, VM);
  checker.began(arrival);
  jest.setSystemTime(silentFrom);
  silences.add(silentFrom, 'i', 1900);
  jest.setSystemTime(endedAt);
  checker.ended(arrival, false);
  jest.setSystemTime(7642);
  checker.answered(sent, VM, broken as Partial<CallerAnswer> as CallerAnswer);
  jest.useRealTimers();
  return breaches.map(({ promise }) => promise);
}

describe('streams that break off as their VM stops', () => {
  // Guards against a VM that is blamed for events that the link of the runner held in the last part of the grace period.
  it('are lost unless the runner was at work, or its link held bytes, in the last part', () => {
    expect({
      'ended before': stopWith({ endedAt: 6500, silentFrom: 0 }),
      'held until the last part': stopWith({ endedAt: 6500, silentFrom: 6400 }),
      'held before': stopWith({ endedAt: 6500, silentFrom: 4000 }),
      'at work in the last part': stopWith({ endedAt: 6700, silentFrom: 0 }),
    }).toEqual({
      'ended before': ['stop'],
      'held until the last part': [],
      'held before': ['stop'],
      'at work in the last part': [],
    });
  });
});
