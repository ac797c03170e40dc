/**
 * A short form of a set of facts, in parts: two VMs compare it and exchange only
 * the facts of the parts in which they differ.
 */

import { textHash } from '../hash';

/** Parts: at 7,300 runners one holds some 115, about 25 KB. */
export const DIGEST_PARTS = 64;

/** Part that a fact's id falls into. */
export function partOf(id: string): number {
  return textHash(id) % DIGEST_PARTS;
}

/** Digest that is kept up with each change; the order of changes does not matter. */
export class RecordDigest {
  readonly #parts = new Uint32Array(DIGEST_PARTS);

  readonly #hashes = new Map<string, number>();

  #text: string | undefined;

  /** Takes a fact's new content; undefined if it is gone. */
  set(id: string, content: string | undefined): void {
    const part = partOf(id);
    const hash = content === undefined ? 0 : textHash(`${id} ${content}`);
    // eslint-disable-next-line no-bitwise -- takes the old content out and the new one in
    this.#parts[part] = (this.#parts[part] ?? 0) ^ (this.#hashes.get(id) ?? 0) ^ hash;
    if (content === undefined) this.#hashes.delete(id);
    else this.#hashes.set(id, hash);
    this.#text = undefined;
  }

  get parts(): readonly number[] {
    return [...this.#parts];
  }

  /** All parts in one. */
  get text(): string {
    this.#text ??= textHash(this.#parts.join(' ')).toString(36);
    return this.#text;
  }

  /** The parts in which another digest differs. */
  differingParts(theirs: readonly number[]): ReadonlySet<number> {
    const own = this.parts;
    return new Set(own.map((_, part) => part).filter((part) => own[part] !== theirs[part]));
  }
}
