/** The answer an engine gives to a prompt: fixed by the prompt, so that tests can tell a whole answer from a part. */

import { createHash } from 'node:crypto';

function digest(prompt: string): Buffer {
  return createHash('sha1').update(prompt).digest();
}

/** How many tokens the engine has to say to a prompt. */
export function outputLength(prompt: string, maxTokens: number): number {
  const spread = digest(prompt).readUInt32BE(0) / 2 ** 32;
  return Math.max(
    1,
    Math.min(maxTokens, Math.ceil(-Math.log(1 - spread * 0.99) * maxTokens * 0.4)),
  );
}

/** Token of the answer at an index. */
export function outputToken(prompt: string, index: number): string {
  return ` ${digest(prompt).readUInt16BE(4).toString(36)}-${index}`;
}

/** The whole answer. */
export function outputText(prompt: string, maxTokens: number): string {
  const length = outputLength(prompt, maxTokens);
  return Array.from({ length }, (_, index) => outputToken(prompt, index)).join('');
}

/** A prompt without the part of the answer that a resumed run carries at its end. */
export interface SplitPrompt {
  readonly base: string;
  /** Tokens of the answer that the prompt has already. */
  readonly done: number;
}

/** Finds out whether a prompt ends with the beginning of its own answer. */
export function splitPrompt(prompt: string): SplitPrompt {
  const tail = /(?: [0-9a-z]+-\d+)+$/.exec(prompt)?.[0] ?? '';
  const done = tail.split(' ').length - 1;
  const base = prompt.slice(0, prompt.length - tail.length);
  const own = Array.from({ length: done }, (_, index) => outputToken(base, index)).join('');
  return tail !== '' && tail === own ? { base, done } : { base: prompt, done: 0 };
}
