import { isPart, partFingerprints } from '../../src/core/fingerprint';
import { Quarantine } from '../../src/core/quarantine/quarantine';
import { TTL_MS } from '../../src/core/quarantine/record';
import { Trials } from '../../src/core/quarantine/trials';

/** A request: its own fingerprint and its prompt parts. */
function requestOf(id: string, ...parts: readonly string[]): readonly string[] {
  const scope = { service: 's', model: 'm', version: 'v1' };
  return [id, ...partFingerprints(scope, [...parts, `own-${id}`])];
}

const FIRST = 'a1';
const FATAL = 'fa7a1';
const CALLER = 'c1';

/** One VM's quarantine, and the runners that crash in it. */
class Crashes {
  readonly quarantine = new Quarantine();

  now = 0;

  #runners = 0;

  /** Crashes a runner under some requests at once, a second after the last one. */
  crash(requests: readonly (readonly string[])[], { late = false, afterMs = 1000 } = {}): void {
    this.now += afterMs;
    this.#runners += 1;
    const runner = `r${this.#runners}`;
    for (const request of requests) {
      for (const one of this.quarantine.accused(this.now, request, runner)) {
        this.quarantine.recordCrash(this.now, one, runner, late);
      }
    }
  }

  complete(request: readonly string[]): void {
    for (const one of request) this.quarantine.recordCompletion(this.now, one);
  }

  verdict(request: readonly string[]): string {
    return this.quarantine.verdict(this.now, request).kind;
  }
}

/** Crashes of runners under requests that differ but for the fatal part. */
function fatalCrashes(count: number, ...others: readonly string[]): Crashes {
  const crashes = new Crashes();
  for (let i = 0; i < count; i += 1) {
    crashes.crash([requestOf(`q${i}`, FIRST, ...others, FATAL)]);
    crashes.complete(requestOf(`sound${i}`, FIRST));
  }
  return crashes;
}

describe('a prompt part under which runners crash', () => {
  test('runs alone after two crashes, and is in quarantine for ten minutes after three', () => {
    const next = requestOf('next', FIRST, FATAL);
    const verdicts = [1, 2, 3].map((count) => fatalCrashes(count).verdict(next));
    expect(verdicts).toEqual(['allowed', 'trial', 'refused']);
    const crashes = fatalCrashes(3);
    crashes.now += TTL_MS;
    expect(crashes.verdict(next)).toBe('allowed');
  });

  test('is the only one that is refused', () => {
    const crashes = fatalCrashes(3);
    expect(crashes.verdict(requestOf('other', FIRST))).toBe('allowed');
    expect(crashes.verdict(requestOf('q0', FIRST))).toBe('allowed');
  });

  // Guards against refusing what many requests share when a failure domain loses power.
  test('counts runners that crash in the same moment once', () => {
    const crashes = new Crashes();
    for (let i = 0; i < 9; i += 1) {
      crashes.crash([requestOf(`q${i}`, FIRST, CALLER)], { afterMs: 5 });
    }
    expect(crashes.verdict(requestOf('next', FIRST, CALLER))).toBe('allowed');
  });

  test('is cleared by a run that is found sound, shortly before or at any time after the crashes', () => {
    const before = new Crashes();
    before.complete(requestOf('sound', FIRST));
    const after = new Crashes();
    for (const crashes of [before, after]) {
      for (let i = 0; i < 4; i += 1) {
        crashes.crash([requestOf(`q${i}`, FIRST)], { afterMs: 400 });
      }
    }
    const next = requestOf('next', FIRST);
    expect([before.verdict(next), after.verdict(next)]).toEqual(['allowed', 'refused']);
    after.complete(requestOf('sound', FIRST));
    expect(after.verdict(next)).toBe('allowed');
  });

  // Guards against parts that were sound for a while and crash runners of a new release.
  test('counts again if it crashes runners after it was sound', () => {
    const crashes = new Crashes();
    crashes.complete(requestOf('sound', FATAL));
    for (let i = 0; i < 5; i += 1) crashes.crash([requestOf(`q${i}`, FATAL)]);
    expect(crashes.verdict(requestOf('next', FATAL))).toBe('refused');
  });

  test('counts less if runs had produced output for a while', () => {
    const verdicts = [3, 5].map((count) => {
      const crashes = new Crashes();
      for (let i = 0; i < count; i += 1) {
        crashes.crash([requestOf(`q${i}`, FATAL)], { late: true });
      }
      return crashes.verdict(requestOf('next', FATAL));
    });
    expect(verdicts).toEqual(['trial', 'refused']);
  });

  // Guards against refusing a caller all of whose requests crashed runners, until it has a sound one.
  test('shares its crashes with the part of its caller until one of them is tried alone', () => {
    const both = requestOf('both', CALLER, FATAL);
    const caller = requestOf('caller', CALLER);
    const fatal = requestOf('fatal', FATAL);
    const [sound, crashed] = [fatalCrashes(4, CALLER), fatalCrashes(4, CALLER)];
    expect([both, caller, fatal].map((one) => sound.verdict(one))).toEqual([
      'refused',
      'trial',
      'trial',
    ]);
    sound.complete(caller);
    expect([both, caller, fatal].map((one) => sound.verdict(one))).toEqual([
      'refused',
      'allowed',
      'refused',
    ]);
    crashed.crash([fatal]);
    expect([both, caller, fatal].map((one) => crashed.verdict(one))).toEqual([
      'refused',
      'trial',
      'refused',
    ]);
  });

  // Guards against refusing a request that was on each of the runners that others crashed.
  test('does not have a sound request refused that was on all of the runners', () => {
    const crashes = new Crashes();
    const victim = requestOf('victim', FIRST, CALLER);
    for (let i = 0; i < 3; i += 1) {
      crashes.crash([requestOf(`q${i}`, FIRST, FATAL), victim]);
      crashes.complete(requestOf(`sound${i}`, FIRST, CALLER));
    }
    expect(crashes.verdict(victim)).toBe('trial');
    crashes.complete(victim);
    expect(crashes.verdict(victim)).toBe('allowed');
    crashes.crash([requestOf('q3', FIRST, FATAL)]);
    expect(crashes.verdict(requestOf('next', FIRST, FATAL))).toBe('refused');
  });

  // Guards against refusing a caller for the crashes of two parts, of which one has crashed a runner only once.
  test('does not have its caller refused for another one beside it', () => {
    const crashes = new Crashes();
    for (const [i, part] of ['fa1', 'fa2', 'fa1'].entries()) {
      crashes.crash([requestOf(`q${i}`, FIRST, CALLER, part)]);
      crashes.complete(requestOf(`sound${i}`, FIRST));
    }
    const verdicts = [[CALLER], [CALLER, 'fa1'], [CALLER, 'fa2']].map((parts, i) =>
      crashes.verdict(requestOf(`next${i}`, FIRST, ...parts)),
    );
    expect(verdicts).toEqual(['trial', 'refused', 'refused']);
  });

  // Guards against a part that is sound as the last one of a prompt, and accused as an earlier one.
  test('is another one as the last of a prompt, until a run with it is found sound', () => {
    const crashes = new Crashes();
    const session = ['q', ...partFingerprints({ service: 's', model: 'm', version: 'v1' }, ['s1'])];
    const later = requestOf('later', 's1');
    for (let i = 0; i < 3; i += 1) crashes.crash([session]);
    expect([session, later].map((one) => crashes.verdict(one))).toEqual(['refused', 'allowed']);
    for (let i = 0; i < 3; i += 1) crashes.crash([requestOf(`later${i}`, 's1')]);
    expect(crashes.verdict(later)).toBe('refused');
    crashes.complete(session);
    expect([session, later].map((one) => crashes.verdict(one))).toEqual(['allowed', 'allowed']);
  });

  test('is found beside another one', () => {
    const crashes = new Crashes();
    for (let i = 0; i < 3; i += 1) {
      crashes.crash([requestOf(`a${i}`, FIRST, 'fa1')]);
      crashes.crash([requestOf(`b${i}`, FIRST, 'fa2')]);
      crashes.complete(requestOf(`sound${i}`, FIRST));
    }
    const next = [
      requestOf('a', FIRST, 'fa1'),
      requestOf('b', FIRST, 'fa2'),
      requestOf('c', FIRST),
    ];
    expect(next.map((one) => crashes.verdict(one))).toEqual(['refused', 'refused', 'allowed']);
  });

  // Guards against memory and messages that grow with the ids that callers choose.
  test('is kept while callers name new parts with each request', () => {
    const crashes = new Crashes();
    const flood = (i: number): readonly string[] =>
      requestOf(`flood${i}`, ...Array.from({ length: 64 }, (_, part) => `${i}f${part}`));
    for (let i = 0; i < 3; i += 1) {
      crashes.crash([flood(2 * i), requestOf(`q${i}`, FIRST, FATAL)]);
      crashes.crash([flood(2 * i + 1)]);
      crashes.complete(requestOf(`sound${i}`, FIRST));
    }
    expect(crashes.verdict(requestOf('next', FIRST, FATAL))).toBe('refused');
    expect(crashes.quarantine.suspects(crashes.now).length).toBeLessThan(300);
  });

  // Guards against a part that hides among hundreds of others.
  test('is found wherever it stands among many parts', () => {
    const crashes = new Crashes();
    const many = (i: number): readonly string[] => {
      const parts = Array.from({ length: 128 }, (_, part) => `${i}f${part}`);
      return requestOf(`q${i}`, ...parts.slice(0, 100), FATAL, ...parts.slice(100));
    };
    const accused = crashes.quarantine.accused(0, many(0), 'r');
    expect(accused.filter(isPart).length).toBe(32);
    let count = 0;
    while (crashes.verdict(many(1000)) !== 'refused' && count < 60) {
      crashes.crash([many(count)]);
      count += 1;
    }
    expect(crashes.verdict(requestOf('next', FATAL))).toBe('refused');
  });

  test('counts for the service, model and software version of its runners', () => {
    const scope = { service: 's', model: 'm', version: 'v1' };
    const scopes = [
      scope,
      { ...scope, service: 't' },
      { ...scope, model: 'n' },
      { ...scope, version: 'v2' },
    ];
    const all = scopes.flatMap((one) => partFingerprints(one, [FATAL, FATAL, 'x'.repeat(64)]));
    // Of each scope: both parts, and the last one as the request's own.
    expect(new Set(all).size).toBe(12);
    expect(all.filter((one) => one.length > 64)).toEqual([]);
  });
});

describe('a trial', () => {
  test('keeps other requests with the same part back until it has a result or time has passed', () => {
    const trials = new Trials();
    const outcomes = [
      trials.tryBegin(0, 'a', ['p', 'q']),
      trials.tryBegin(10, 'a', ['p']),
      trials.tryBegin(20, 'b', ['q']),
      trials.tryBegin(30, 'b', ['r']),
    ];
    trials.end('q');
    outcomes.push(trials.tryBegin(40, 'c', ['q']), trials.tryBegin(50, 'c', ['p']));
    outcomes.push(trials.tryBegin(10_000, 'd', ['p', 'q', 'r']));
    expect(outcomes).toEqual([true, true, false, true, true, false, true]);
  });
});
