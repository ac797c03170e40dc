/** The output that an engine produces for a prompt. It depends only on the prompt, so that tests can tell a complete output from a truncated one. */

import { createHash } from 'node:crypto';

function digest(prompt: string): Buffer {
  return createHash('sha1').update(prompt).digest();
}

/** Number of output tokens for a prompt. */
export function outputLength(prompt: string, maxTokens: number): number {
  const fraction = digest(prompt).readUInt32BE(0) / 2 ** 32;
  return Math.max(
    1,
    Math.min(maxTokens, Math.ceil(-Math.log(1 - fraction * 0.99) * maxTokens * 0.4)),
  );
}

/** Output token at an index. */
export function outputToken(prompt: string, index: number): string {
  return ` ${digest(prompt).readUInt16BE(4).toString(36)}-${index}`;
}

/** Complete output for a prompt. */
export function outputText(prompt: string, maxTokens: number): string {
  const length = outputLength(prompt, maxTokens);
  return Array.from({ length }, (_, index) => outputToken(prompt, index)).join('');
}

/** A prompt separated from the part of the output that a resumed run appends to it. */
export interface SplitPrompt {
  /** Prompt without output. */
  readonly base: string;
  /** Number of output tokens at the end of the prompt. */
  readonly done: number;
}

/** Separates a prompt from the beginning of its own output, if it ends with that. */
export function splitPrompt(prompt: string): SplitPrompt {
  const tail = /(?: [0-9a-z]+-\d+)+$/.exec(prompt)?.[0] ?? '';
  const done = tail.split(' ').length - 1;
  const base = prompt.slice(0, prompt.length - tail.length);
  const expected = Array.from({ length: done }, (_, index) => outputToken(base, index)).join('');
  return tail !== '' && tail === expected ? { base, done } : { base: prompt, done: 0 };
}
