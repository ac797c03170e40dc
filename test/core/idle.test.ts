import { announcedSeconds, closesAt } from '../../src/core/idle';

// Guards against announcing more than is kept, and against zero seconds.
test('whole seconds are announced, rounded down, and at least one', () => {
  expect([0, 500, 1000, 1999, 15_000].map(announcedSeconds)).toEqual([1, 1, 1, 1, 15]);
});

// Guards against a connection that a changed limit closes earlier than announced.
test('a connection is kept for the longer of what was announced and the limit in force', () => {
  const times = [500, 1000, 4000].map((limitMs) =>
    closesAt({ idleSince: 100, announcedMs: 1000 }, limitMs),
  );
  expect(times).toEqual([3100, 3100, 6100]);
});
