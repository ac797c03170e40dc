/**
 * Client of the platform: key-value service with compare-and-swap, leases and
 * watches over Consul's HTTP protocol, and the lagging list of VMs.
 */

import { Agent } from 'node:http';

import { z } from 'zod';

import { Failure, toFailure } from '../../core/failure';
import type { HttpResponse } from '../../utils/http';
import { call } from '../../utils/http';

/** A value with the index of its last change. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Grows with each write; 0 for a key that does not exist. */
  readonly index: number;
}

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly id: string;
  readonly address: string;
  readonly leaving: boolean;
}

/** How a conditional write ended. `unknown`: the answer was lost, the write may have taken effect. */
export type WriteOutcome = 'written' | 'conflict' | 'unknown';

/** Everything that is asked of the platform. */
export interface Platform {
  read(key: string): Promise<StoredValue | undefined>;
  /** Values under a prefix, at once or, if nothing changed since `index`, after a change or `waitMs`. */
  watch(prefix: string, index: number, waitMs: number, signal?: AbortSignal): Promise<PrefixState>;
  /** Writes if the key's index still is `index`. */
  write(key: string, value: string, index: number): Promise<WriteOutcome>;
  createLease(ttlMs: number): Promise<string>;
  renewLease(lease: string, ttlMs: number): Promise<boolean>;
  endLease(lease: string): Promise<void>;
  /** Takes a key under a lease; false if another holds it. */
  acquire(key: string, value: string, lease: string): Promise<boolean>;
  listVms(): Promise<readonly ListedVm[]>;
}

/** Values under a prefix at one moment. */
export interface PrefixState {
  readonly index: number;
  readonly values: readonly StoredValue[];
}

const entriesSchema = z.array(
  z.object({ Key: z.string(), Value: z.string().nullable(), ModifyIndex: z.number() }),
);
const nodesSchema = z.array(
  z.object({
    Node: z.string(),
    Address: z.string(),
    Meta: z.object({ leaving: z.string().optional() }).optional(),
  }),
);
const leaseSchema = z.object({ ID: z.string() });

/** Time limit of a call that does not wait for a change, in milliseconds. */
const CALL_LIMIT_MS = 2000;

function seconds(ms: number): string {
  return `${ms / 1000}s`;
}

/** The client on HTTP. Every method rejects with `platformUnavailable` when no answer comes. */
export class HttpPlatform implements Platform {
  readonly #base: string;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  constructor(base: string) {
    this.#base = base;
  }

  async read(key: string): Promise<StoredValue | undefined> {
    const answer = await this.#call('GET', `/v1/kv/${encodeURIComponent(key)}`);
    return answer.status === 404 ? undefined : parseEntries(answer)[0];
  }

  async watch(
    prefix: string,
    index: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<PrefixState> {
    const path = `/v1/kv/${encodeURIComponent(prefix)}?recurse=1&index=${index}&wait=${seconds(waitMs)}`;
    const answer = await this.#call('GET', path, undefined, CALL_LIMIT_MS + waitMs, signal);
    const values = answer.status === 404 ? [] : parseEntries(answer);
    return { index: Number(answer.headers['x-consul-index'] ?? 0), values };
  }

  async write(key: string, value: string, index: number): Promise<WriteOutcome> {
    try {
      const answer = await this.#call(
        'PUT',
        `/v1/kv/${encodeURIComponent(key)}?cas=${index}`,
        value,
      );
      return answer.body.trim() === 'true' ? 'written' : 'conflict';
    } catch {
      return 'unknown';
    }
  }

  async createLease(ttlMs: number): Promise<string> {
    const answer = await this.#call(
      'PUT',
      '/v1/session/create',
      JSON.stringify({ TTL: seconds(ttlMs) }),
    );
    return leaseSchema.parse(JSON.parse(answer.body)).ID;
  }

  async renewLease(lease: string, ttlMs: number): Promise<boolean> {
    const answer = await this.#call(
      'PUT',
      `/v1/session/renew/${lease}`,
      JSON.stringify({ TTL: seconds(ttlMs) }),
    );
    return answer.status === 200;
  }

  async endLease(lease: string): Promise<void> {
    await this.#call('PUT', `/v1/session/destroy/${lease}`, '');
  }

  async acquire(key: string, value: string, lease: string): Promise<boolean> {
    const answer = await this.#call(
      'PUT',
      `/v1/kv/${encodeURIComponent(key)}?acquire=${lease}`,
      value,
    );
    return answer.body.trim() === 'true';
  }

  async listVms(): Promise<readonly ListedVm[]> {
    const answer = await this.#call('GET', '/v1/catalog/nodes');
    const nodes = nodesSchema.parse(JSON.parse(answer.body));
    return nodes.map(({ Node: id, Address: address, Meta }) => ({
      id,
      address,
      leaving: Meta?.leaving === 'true',
    }));
  }

  close(): void {
    this.#agent.destroy();
  }

  async #call(
    method: string,
    path: string,
    body?: string,
    timeoutMs = CALL_LIMIT_MS,
    signal?: AbortSignal,
  ): Promise<HttpResponse> {
    try {
      const answer = await call({
        method,
        url: this.#base + path,
        agent: this.#agent,
        timeoutMs,
        ...(body === undefined ? {} : { body }),
        ...(signal ? { signal } : {}),
      });
      if (answer.status >= 500) throw new Error(`status ${answer.status}`);
      return answer;
    } catch (error) {
      throw new Failure('platformUnavailable', `${method} ${path}: ${toFailure(error).message}`);
    }
  }
}

function parseEntries(answer: HttpResponse): readonly StoredValue[] {
  const entries = entriesSchema.parse(JSON.parse(answer.body));
  return entries.map(({ Key: key, Value, ModifyIndex: index }) => ({
    key,
    value: Buffer.from(Value ?? '', 'base64').toString(),
    index,
  }));
}
