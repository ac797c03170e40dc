/**
 * Digest of a set of records, split into parts by record id. Two VMs compare their
 * digests and exchange only the records of the parts that differ.
 */

import { textHash } from '../hash';

/** Number of parts: at 7,300 runners one part holds some 115 records, about 25 KB. */
export const DIGEST_PARTS = 64;

/** The part to which a record belongs. */
export function partOf(id: string): number {
  return textHash(id) % DIGEST_PARTS;
}

/** Separates the version of the configuration from the rest of a state digest. */
const SEPARATOR = '/';

/** Digest of the state that VMs replicate, as their packets carry it. */
export interface StateDigest {
  /** Version of the configuration; unlike the rest it shows which of two states is newer. */
  readonly configVersion: number;
  /** Digests of everything else. */
  readonly rest: string;
}

/** Longest encoded state digest, in characters: a version has 25 at most, a hash 7. */
export const MAX_DIGEST_CHARS = 40;

/**
 * The digest of a state. One that would be too long for a packet is shortened.
 * @param parts digests of everything but the configuration; those that are empty do not count
 */
export function stateDigestOf(configVersion: number, parts: readonly string[]): StateDigest {
  const rest = parts.filter((part) => part !== '').join(SEPARATOR);
  const digest = { configVersion, rest };
  const fits = encodeDigest(digest).length <= MAX_DIGEST_CHARS;
  return fits ? digest : { configVersion, rest: textHash(rest).toString(36) };
}

/** Encodes a state digest for a packet. */
export function encodeDigest({ configVersion, rest }: StateDigest): string {
  return `${configVersion}${SEPARATOR}${rest}`;
}

/** Decodes a state digest; the version is 0 if there is none. */
export function decodeDigest(text: string): StateDigest {
  const [version = '', ...rest] = text.split(SEPARATOR);
  return {
    configVersion: Number.parseInt(version, 10) || 0,
    rest: rest.join(SEPARATOR),
  };
}

/** Digest that is updated incrementally; the order of updates does not matter. */
export class RecordDigest {
  readonly #parts = new Uint32Array(DIGEST_PARTS);

  readonly #hashes = new Map<string, number>();

  #text: string | undefined;

  /** Sets the content of a record; undefined if it was removed. */
  set(id: string, content: string | undefined): void {
    const part = partOf(id);
    const hash = content === undefined ? 0 : textHash(`${id} ${content}`);
    // eslint-disable-next-line no-bitwise -- takes the old content out and the new one in
    this.#parts[part] = (this.#parts[part] ?? 0) ^ (this.#hashes.get(id) ?? 0) ^ hash;
    if (content === undefined) this.#hashes.delete(id);
    else this.#hashes.set(id, hash);
    this.#text = undefined;
  }

  /** Digests of the parts, by index. */
  get parts(): readonly number[] {
    return [...this.#parts];
  }

  /** One digest over all parts. */
  get text(): string {
    this.#text ??= textHash(this.#parts.join(' ')).toString(36);
    return this.#text;
  }

  /** Indices of the parts that differ from those of another digest. */
  differingParts(theirs: readonly number[]): ReadonlySet<number> {
    const own = this.parts;
    return new Set(own.map((_, part) => part).filter((part) => own[part] !== theirs[part]));
  }
}
