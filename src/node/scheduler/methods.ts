/** Calls that a scheduler answers for gateways, other schedulers and operators' tools. */

import { z } from 'zod';

import { Failure } from '../../core/failure';
import { OUTCOME_LIMIT_BYTES, ledgerKey, shardOf } from '../../core/ledger/shard';
import type { Member } from '../../core/membership/types';
import type { KeyRegistry } from '../../core/registry/keys';
import type { Settings } from '../../core/settings/documents';
import type { LedgerWriter } from './ledger';

/** What the methods work with. */
export interface MethodContext {
  readonly settings: () => Settings;
  readonly members: () => readonly Member[];
  readonly ledger: LedgerWriter;
  readonly keys: KeyRegistry;
  readonly status: () => unknown;
}

const outcomeSchema = z.object({
  status: z.int(),
  contentType: z.string().max(200),
  body: z.string().max(OUTCOME_LIMIT_BYTES),
});
const claimSchema = z.object({
  team: z.string(),
  key: z.string().max(256),
  nonce: z.string().max(64),
  fingerprint: z.string().max(64),
});
const settleSchema = z.object({
  team: z.string(),
  key: z.string().max(256),
  nonce: z.string().max(64),
  outcome: outcomeSchema,
});
const withdrawSchema = claimSchema.omit({ fingerprint: true });
const attemptSchema = z.object({
  key: z.string().max(400),
  fingerprint: z.string().max(64),
  gateway: z.string().max(100),
  id: z.string().max(200),
});
const locateSchema = z.object({
  key: z.string(),
  id: z.string(),
  runner: z.string(),
  runId: z.string(),
  base: z.int(),
});
const transferSchema = z.object({
  key: z.string(),
  from: z.string(),
  gateway: z.string(),
  id: z.string(),
});
const concludeSchema = z.object({
  key: z.string(),
  id: z.string(),
  text: z.string().max(256 * 1024),
  tokens: z.int(),
});
const abandonSchema = z.object({ key: z.string(), id: z.string() });
const knownSchema = z.record(z.string(), z.int());
const pathSchema = z.object({ path: z.string().max(200) });

type Method = (params: unknown) => unknown;

function ledgerMethods({ ledger }: MethodContext): Readonly<Record<string, Method>> {
  return {
    'ledger.claim': (params) => {
      const { team, key, nonce, fingerprint } = claimSchema.parse(params);
      const name = ledgerKey(team, key);
      return ledger.submit(shardOf(name), {
        kind: 'claim',
        claim: { key: name, nonce, fingerprint },
        at: Date.now(),
      });
    },
    'ledger.settle': (params) => {
      const { team, key, nonce, outcome } = settleSchema.parse(params);
      const name = ledgerKey(team, key);
      return ledger.submit(shardOf(name), { kind: 'settle', key: name, nonce, outcome });
    },
    'ledger.withdraw': (params) => {
      const { team, key, nonce } = withdrawSchema.parse(params);
      const name = ledgerKey(team, key);
      return ledger.submit(shardOf(name), { kind: 'withdraw', key: name, nonce });
    },
  };
}

function keyMethods({ keys }: MethodContext): Readonly<Record<string, Method>> {
  return {
    'keys.attempt': (params) => {
      const { key, fingerprint, gateway, id } = attemptSchema.parse(params);
      return keys.attempt(Date.now(), key, fingerprint, gateway, id);
    },
    'keys.locate': (params) => {
      const { key, id, runner, runId, base } = locateSchema.parse(params);
      keys.setLocation(key, id, { runner, runId, base });
    },
    'keys.transfer': (params) => {
      const { key, from, gateway, id } = transferSchema.parse(params);
      return keys.reassign(key, from, gateway, id);
    },
    'keys.conclude': (params) => {
      const { key, id, text, tokens } = concludeSchema.parse(params);
      keys.complete(Date.now(), key, id, { text, tokens });
    },
    'keys.abandon': (params) => {
      const { key, id } = abandonSchema.parse(params);
      keys.abandon(key, id);
    },
  };
}

function settingsMethods({
  settings,
  members,
  status,
}: MethodContext): Readonly<Record<string, Method>> {
  return {
    'settings.newer': (params) => settings().newerThan(knownSchema.parse(params)),
    'settings.get': (params) => {
      const document = settings().document(pathSchema.parse(params).path);
      return document ? [document] : [];
    },
    'settings.revision': (params) => settings().revisionOf(pathSchema.parse(params).path),
    members: () => members(),
    status: () => status(),
  };
}

/** Answers calls by name; parameters that do not fit are `peerRejected`. */
export class MethodDispatcher {
  readonly #methods: ReadonlyMap<string, Method>;

  constructor(context: MethodContext) {
    this.#methods = new Map(
      Object.entries({
        ...ledgerMethods(context),
        ...keyMethods(context),
        ...settingsMethods(context),
      }),
    );
  }

  async dispatch(method: string, params: unknown): Promise<unknown> {
    const known = this.#methods.get(method);
    if (!known) throw new Failure('peerRejected', `found method '${method}', expected a known one`);
    try {
      return (await known(params)) ?? null;
    } catch (error) {
      if (error instanceof z.ZodError) {
        throw new Failure('peerRejected', `${method}: ${error.issues[0]?.message ?? ''}`);
      }
      throw error;
    }
  }
}
