/** The error class of the project: a `VError` with a result code. */

import VError from 'verror';

import type { Code, CodeName } from './codes';
import { codes } from './codes';

/** Optional details of a failure. */
export interface FailureOptions {
  /** Time after which a retry is useful, in milliseconds. Default: unknown. */
  readonly retryAfterMs?: number;
  /** The underlying error. Default: none. */
  readonly cause?: Error;
}

/** An error with a numbered code. Its message states what was found and what was expected. */
export class Failure extends VError {
  readonly codeName: CodeName;

  readonly retryAfterMs: number | undefined;

  constructor(codeName: CodeName, detail: string, options: FailureOptions = {}) {
    super({ name: 'Failure', ...(options.cause ? { cause: options.cause } : {}) }, '%s', detail);
    this.codeName = codeName;
    this.retryAfterMs = options.retryAfterMs;
  }

  /** The result code; see `codes`. */
  get code(): Code {
    return codes[this.codeName];
  }

  /** One line for standard error and logs: `[104] detail`. */
  get line(): string {
    return `[${this.code.number}] ${this.message}`;
  }
}

/** Converts any thrown value to a `Failure`; other errors become `internal` failures. */
export function toFailure(error: unknown): Failure {
  if (error instanceof Failure) return error;
  const cause = error instanceof Error ? error : new Error(String(error));
  return new Failure('internal', cause.message, { cause });
}
