import { seeded } from '../fakes/virtual/workload';
import type { OddEntry } from '../../scripts/soak/oddvalues';
import { drawOwn, drawRunner, runnerKinds } from '../../scripts/soak/oddvalues';

const sound = {
  service: 'desk',
  address: '127.0.0.1:1',
  slots: 6,
  sequence: 0,
  born: 5,
  zone: 'a',
};

function drawAll(draw: (random: () => number, number: number) => OddEntry): readonly OddEntry[] {
  const random = seeded(1);
  return Array.from({ length: 400 }, (_, number) => draw(random, number));
}

function bytesOf({ value }: OddEntry): number {
  if (typeof value === 'object' && 'encoded' in value) return value.encoded.length;
  return Buffer.byteLength(value);
}

const entries = [
  ...Object.keys(runnerKinds).flatMap((kind) =>
    drawAll((random, number) => drawRunner(random, kind, number, sound)),
  ),
  ...drawAll((random, number) => drawOwn(random, number, '127.0.0.1:1')),
];

describe('odd entries', () => {
  // Guards against entries that no store would hold, which VMs need not withstand.
  it('fit into the store', () => {
    expect(Math.max(...entries.map(({ key }) => Buffer.byteLength(key)))).toBe(200);
    expect(Math.max(...entries.map(bytesOf))).toBe(1_048_576);
  });

  // Guards against an entry that is odd in another part than the one named, or not at all.
  it('are sound but for one number', () => {
    const odd = drawAll((random, number) => drawRunner(random, 'odd-number', number, sound));
    const changes = odd.map(({ what, value }) => {
      const [field = ''] = what.split(' ');
      const read = JSON.parse(String(value)) as Record<string, unknown>;
      return {
        field,
        isOdd: read[field] !== sound[field as keyof typeof sound],
        rest: { ...read },
      };
    });
    expect(new Set(changes.map(({ field }) => field))).toEqual(
      new Set(['slots', 'sequence', 'cold-remaining-ms', 'born']),
    );
    for (const { field, isOdd, rest } of changes) {
      expect(isOdd).toBe(true);
      expect({ ...rest, [field]: 0 }).toEqual({ ...sound, [field]: 0 });
    }
  });
});
