import fc from 'fast-check';

import type { ShardChange } from '../../src/core/ledger/shard';
import {
  LedgerShard,
  RETENTION_MS,
  SHARD_LIMIT_BYTES,
  ledgerKey,
  shardOf,
} from '../../src/core/ledger/shard';

const claim = (key: string, nonce: string, at = 0, fingerprint = 'f'): ShardChange => ({
  kind: 'claim',
  claim: { key, nonce, fingerprint },
  at,
});
const outcome = { status: 200, contentType: 'text/plain', body: 'receipt' };

/** A store of one value with compare-and-swap. */
class Store {
  value: string | undefined;

  index = 0;

  write(value: string, index: number): boolean {
    if (index !== this.index) return false;
    this.value = value;
    this.index += 1;
    return true;
  }
}

interface Writer {
  read: { content: LedgerShard; index: number } | undefined;
}

describe('a shard of the run ledger', () => {
  /*
   * Two schedulers both act as owner of the shard. Each reads, applies and writes at any
   * time, and may lose the answer to a write. In every interleaving, a key is claimed by
   * one nonce only.
   */
  test('grants each key once in any interleaving of two owners', () => {
    const step = fc.record({
      writer: fc.integer({ min: 0, max: 1 }),
      what: fc.constantFrom('read', 'write', 'lostWrite'),
      key: fc.constantFrom('k1', 'k2'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const store = new Store();
        const writers: Writer[] = [{ read: undefined }, { read: undefined }];
        const granted = new Map<string, Set<string>>();
        steps.forEach(({ writer: number, what, key }, i) => {
          const writer = writers[number] as Writer;
          if (what === 'read' || !writer.read) {
            writer.read = { content: LedgerShard.parse(store.value), index: store.index };
            return;
          }
          const nonce = `${number}-${i}`;
          const result = writer.read.content.apply(claim(key, nonce));
          const written = store.write(writer.read.content.toString(), writer.read.index);
          writer.read = undefined;
          if (result.kind !== 'claimed') return;
          const confirmed = written && what === 'write';
          const readBack =
            LedgerShard.parse(store.value).apply(claim(key, nonce)).kind === 'claimed';
          const ours = confirmed || (what === 'lostWrite' && written && readBack);
          if (ours) granted.set(key, (granted.get(key) ?? new Set()).add(nonce));
        });
        for (const nonces of granted.values()) expect(nonces.size).toBe(1);
      }),
      { seed: 20261202, numRuns: 500 },
    );
  });

  test('recognizes its own claim and returns the state or outcome to others', () => {
    const shard = LedgerShard.parse(undefined);
    const seen = [
      shard.apply(claim('k', 'mine')),
      shard.apply(claim('k', 'mine')),
      shard.apply(claim('k', 'other')),
      shard.apply(claim('k', 'other', 0, 'different')),
      shard.apply({ kind: 'settle', key: 'k', nonce: 'other', outcome }),
      shard.apply(claim('k', 'other')),
      shard.apply({ kind: 'settle', key: 'k', nonce: 'mine', outcome }),
      LedgerShard.parse(shard.toString()).apply(claim('k', 'other')),
    ];
    expect(seen.map(({ kind }) => kind)).toMatchInlineSnapshot(`
     [
       "claimed",
       "claimed",
       "running",
       "mismatch",
       "claimed",
       "running",
       "claimed",
       "done",
     ]
    `);
  });

  test('releases a key only when the claim is withdrawn with its own nonce', () => {
    const shard = LedgerShard.parse(undefined);
    shard.apply(claim('k', 'mine'));
    shard.apply({ kind: 'withdraw', key: 'k', nonce: 'other' });
    expect(shard.apply(claim('k', 'other')).kind).toBe('running');
    shard.apply({ kind: 'withdraw', key: 'k', nonce: 'mine' });
    expect(shard.apply(claim('k', 'other')).kind).toBe('claimed');
  });

  test('refuses claims that do not fit and keeps entries until their retention time ends', () => {
    const shard = LedgerShard.parse(undefined);
    let claimed = 0;
    while (shard.apply(claim(`key-${claimed}`, 'n', claimed)).kind === 'claimed') claimed += 1;
    expect(shard.toString().length).toBeLessThan(SHARD_LIMIT_BYTES);
    expect(claimed).toBeGreaterThan(5000);
    shard.prune(RETENTION_MS);
    expect(shard.apply(claim('key-0', 'other')).kind).toBe('running');
    shard.prune(RETENTION_MS + 1);
    expect(shard.apply(claim('key-0', 'other')).kind).toBe('claimed');
  });

  test('separates equal keys of different teams', () => {
    expect(ledgerKey('a', 'k')).not.toBe(ledgerKey('b', 'k'));
    expect(shardOf(ledgerKey('a', 'k'))).toBe(shardOf(ledgerKey('a', 'k')));
  });
});
