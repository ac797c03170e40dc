/**
 * Client of the platform: a key-value service with compare-and-swap, leases and
 * watches over Consul's HTTP protocol, and the list of VMs, which may be out of date.
 */

import { Agent } from 'node:http';

import { z } from 'zod';

import { Failure, toFailure } from '../../core/failure';
import type { HttpResponse } from '../../utils/http';
import { call } from '../../utils/http';

/** A value with the index of its last modification. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Increases with each write; 0 stands for a key that does not exist. */
  readonly index: number;
}

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly id: string;
  readonly address: string;
  readonly leaving: boolean;
}

/** Result of a conditional write. `unknown`: no answer arrived, and the write may have taken effect. */
export type WriteOutcome = 'written' | 'conflict' | 'unknown';

/** Interface of the platform. */
export interface Platform {
  /** Reads a key; `undefined` if it does not exist. */
  read(key: string): Promise<StoredValue | undefined>;
  /** Values under a prefix: immediately if they changed since `index`, otherwise after the next change or after `waitMs`. */
  watch(prefix: string, index: number, waitMs: number, signal?: AbortSignal): Promise<PrefixState>;
  /** Writes a key if its index still equals `index`. Never rejects. */
  write(key: string, value: string, index: number): Promise<WriteOutcome>;
  /** Creates a lease and returns its id. */
  createLease(ttlMs: number): Promise<string>;
  /** Renews a lease; false if it has expired. */
  renewLease(lease: string, ttlMs: number): Promise<boolean>;
  endLease(lease: string): Promise<void>;
  /** Locks a key with a lease and sets its value; false if another lease holds it. */
  acquire(key: string, value: string, lease: string): Promise<boolean>;
  listVms(): Promise<readonly ListedVm[]>;
}

/** Values under a prefix, as of one index of the store. */
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

/** Timeout of a call in milliseconds; a watch adds its waiting time. */
const CALL_TIMEOUT_MS = 2000;

function toSeconds(ms: number): string {
  return `${ms / 1000}s`;
}

/**
 * Platform client over HTTP. All methods but `write` reject with `platformUnavailable`
 * on a timeout, a connection error or a status of 500 and above.
 */
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
    const path = `/v1/kv/${encodeURIComponent(prefix)}?recurse=1&index=${index}&wait=${toSeconds(waitMs)}`;
    const answer = await this.#call('GET', path, undefined, CALL_TIMEOUT_MS + waitMs, signal);
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
      JSON.stringify({ TTL: toSeconds(ttlMs) }),
    );
    return leaseSchema.parse(JSON.parse(answer.body)).ID;
  }

  async renewLease(lease: string, ttlMs: number): Promise<boolean> {
    const answer = await this.#call(
      'PUT',
      `/v1/session/renew/${lease}`,
      JSON.stringify({ TTL: toSeconds(ttlMs) }),
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

  /** Closes all pooled connections. */
  close(): void {
    this.#agent.destroy();
  }

  async #call(
    method: string,
    path: string,
    body?: string,
    timeoutMs = CALL_TIMEOUT_MS,
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
