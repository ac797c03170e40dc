/** The one error class of the project: a `VError` that carries a result code. */

import VError from 'verror';

import type { Code, CodeName } from './codes';
import { codes } from './codes';

/** What a failure may say beyond its code. */
export interface FailureOptions {
  /** Milliseconds after which a repeat makes sense. Default: none. */
  readonly retryAfterMs?: number;
  /** The underlying error. Default: none. */
  readonly cause?: Error;
}

/** An error with a numbered code; its message says what was found and expected. */
export class Failure extends VError {
  readonly codeName: CodeName;

  readonly retryAfterMs: number | undefined;

  constructor(codeName: CodeName, detail: string, options: FailureOptions = {}) {
    super({ name: 'Failure', ...(options.cause ? { cause: options.cause } : {}) }, '%s', detail);
    this.codeName = codeName;
    this.retryAfterMs = options.retryAfterMs;
  }

  get code(): Code {
    return codes[this.codeName];
  }

  /** One line for standard error and logs: `[104] detail`. */
  get line(): string {
    return `[${this.code.number}] ${this.message}`;
  }
}

/** Turns anything thrown into a `Failure`; what is not one already is an internal fault. */
export function toFailure(error: unknown): Failure {
  if (error instanceof Failure) return error;
  const cause = error instanceof Error ? error : new Error(String(error));
  return new Failure('internal', cause.message, { cause });
}
