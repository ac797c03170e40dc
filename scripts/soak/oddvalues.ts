/** Entries of the store that another writer got wrong: complete and valid but for one part, or no entries at all. */

/** A key and the bytes of its value. */
export interface OddEntry {
  /** What is wrong with it. */
  readonly what: string;
  readonly key: string;
  readonly value: OddValue;
}

/** A value as text or bytes, or in an encoding that is not the store's. */
export type OddValue = string | Buffer | { readonly encoded: string };

/** A sound entry of a runner. */
export type SoundEntry = Readonly<Record<string, unknown>>;

/** Keys of runners, and of the router. */
export const RUNNERS = 'servers/';
const ROUTER = 'goldcrestdock/';
/** Part of all keys that are not those of others. */
export const ODD_ID = 'odd-';
/** Most bytes of a key and of a value. */
const MAX_KEY_BYTES = 200;
const MAX_VALUE_BYTES = 1_048_576;
const MANY_LEVELS = 100_000;
const MOST_LEVELS = Math.floor(MAX_VALUE_BYTES / 2);

/** Literals of numbers: JSON has no bounds. */
const numbers: Readonly<Record<string, readonly string[]>> = {
  slots: ['1000000', '50000000', '4294967296', '9007199254740991'],
  sequence: ['9007199254740991', '1e300', '1e400', '-1'],
  'cold-remaining-ms': ['9007199254740991', '1e308', '-1e308', '1e400'],
  born: ['9007199254740991', '8640000000000001', '1e300', '-1', '1e400'],
};
/** Fraction of odd numbers that are slots in any case: most work depends on them. */
const SLOTS_RATIO = 0.5;
const ports = ['0', '65536', '100000000000000000000', '-1', ''];

function nested(levels: number): string {
  return '['.repeat(levels) + ']'.repeat(levels);
}

/** An entry with one more field, which replaces an earlier one of the same name. */
function withField(entry: SoundEntry, name: string, literal: string): string {
  return JSON.stringify(entry).replace(/}$/, `,${JSON.stringify(name)}:${literal}}`);
}

function pick<T>(random: () => number, all: readonly T[]): T {
  return all[Math.floor(random() * all.length)] as T;
}

type Drawn = readonly [what: string, value: OddValue];

/** A kind of odd entries: draws a value that replaces a sound entry of a runner. */
type Kind = (random: () => number, entry: SoundEntry) => Drawn;

const drawNumber: Kind = (random, entry) => {
  const field = random() < SLOTS_RATIO ? 'slots' : pick(random, Object.keys(numbers));
  const literal = pick(random, numbers[field] ?? []);
  return [`${field} ${literal}`, withField(entry, field, literal)];
};

const drawAddress: Kind = (random, entry) => {
  const [host] = String(entry.address).split(':');
  const address = pick(random, [...ports.map((port) => `${host}:${port}`), 'nowhere']);
  return [`address ${address}`, withField(entry, 'address', JSON.stringify(address))];
};

const drawNested: Kind = (random, entry) =>
  pick(random, [
    ['nested zone', withField(entry, 'zone', nested(MANY_LEVELS))],
    ['nested field', withField(entry, 'x', nested(MANY_LEVELS))],
    ['nested value', nested(MOST_LEVELS)],
    ['long zone', withField(entry, 'zone', JSON.stringify('z'.repeat(30_000)))],
  ]);

const drawBytes: Kind = (random, entry) => {
  const text = JSON.stringify(entry);
  return pick<Drawn>(random, [
    ['no JSON', pick(random, ['', '{', text.slice(0, -1), `${text}}`, '\0'])],
    ['no runner', pick(random, ['null', '7', '[]', '{}', '{"service":7}'])],
    ['no UTF-8', Buffer.concat([Buffer.from([0xff, 0xfe, 0xc0]), Buffer.from(text)])],
    ['no UTF-8 within', Buffer.from(withField(entry, 'zone', '"\u00ff"'), 'latin1')],
    ['no base64', { encoded: pick(random, ['%%%', text, 'A', '====']) }],
  ]);
};

/** Kinds of odd entries among those of the runners. */
export const runnerKinds: Readonly<Record<string, Kind>> = {
  'odd-number': drawNumber,
  'odd-address': drawAddress,
  'odd-nested': drawNested,
  'odd-bytes': drawBytes,
};

/** Name of the kind of entries under the router's own prefix. */
export const OWN_KIND = 'odd-own';

/** Ids of odd runners: some as long as a key may be, or of odd characters. */
function idOf(random: () => number, number: number): string {
  const id = `i-${ODD_ID}${number}`;
  const long = id + 'x'.repeat(MAX_KEY_BYTES - RUNNERS.length - id.length);
  return pick(random, [id, id, long, `${id}\n`, `${id}\u{1f426}`, `${id}/../x`]);
}

/** Draws an entry among those of the runners, under an id of its own. */
export function drawRunner(
  random: () => number,
  kind: string,
  number: number,
  entry: SoundEntry,
): OddEntry {
  const [what, value] = (runnerKinds[kind] ?? drawBytes)(random, entry);
  return { key: RUNNERS + idOf(random, number), what, value };
}

/** Draws an entry under the router's own prefix. */
export function drawOwn(random: () => number, number: number, address: string): OddEntry {
  const [host] = address.split(':');
  const far = `{"runner":"${'r'.repeat(300)}","at":1e308}`;
  const fit: readonly (readonly [key: string, value: string])[] = [
    [`vms/${ODD_ID}${number}`, JSON.stringify({ address: `${host}:${pick(random, ports)}` })],
    [`vms/${ODD_ID}${number}`, JSON.stringify({ address: 'a'.repeat(30_000) })],
    [`suspects/${ODD_ID}${number}`, `{"ends":[${far}],"completedAt":1e308}`],
    [`suspects/${ODD_ID}${number}`, `{"ends":[${Array(1000).fill(far).join(',')}]}`],
    ['fleet', `{"vms":${pick(random, ['9007199254740991', '1e400', '-1', '1000000'])}}`],
    ['served', `{"reader":${nested(MANY_LEVELS)}}`],
    ['served', '{"reader":[7]}'],
    [`orders/${ODD_ID}${number}`, '{"holder":7}'],
  ];
  const [key, value] = pick(random, fit);
  const [what, odd] = pick<Drawn>(random, [
    ['out of range', value],
    ['out of range', value],
    ['nested', nested(MOST_LEVELS)],
    ['no JSON', '{'],
    ['no base64', { encoded: '%%%' }],
  ]);
  return { key: ROUTER + key, what, value: odd };
}
