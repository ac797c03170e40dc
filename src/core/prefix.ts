/**
 * Hashes of prompt prefixes. A prompt is divided into blocks; the hash of each block covers
 * all blocks before it, so equal hashes mean equal prefixes.
 */

import { createHash } from 'node:crypto';

/** Bytes of prompt text in one block. */
export const BLOCK_BYTES = 1024;
/** Bytes of prompt text per token, for estimates. */
export const BYTES_PER_TOKEN = 4;
/** Tokens in one block. */
export const BLOCK_TOKENS = BLOCK_BYTES / BYTES_PER_TOKEN;
/** Maximum number of hashed blocks; later ones do not affect placement. */
const MAX_BLOCKS = 64;

/**
 * Hashes of the leading blocks of a prompt.
 *
 * The salt is the team or the sharing group. Without it a competitor could send a guessed
 * prompt and infer from the time to first token whether another team sent it before. With
 * it, equal prompts of different groups never share cache.
 */
export function hashBlocks(salt: string, prompt: string): readonly number[] {
  const bytes = Buffer.from(prompt);
  const count = Math.min(MAX_BLOCKS, Math.floor(bytes.length / BLOCK_BYTES));
  let previous = Buffer.from(salt);
  return Array.from({ length: count }, (_, index) => {
    const block = bytes.subarray(index * BLOCK_BYTES, (index + 1) * BLOCK_BYTES);
    previous = createHash('sha1').update(previous).update(block).digest();
    return previous.readUIntBE(0, 6);
  });
}

/** Tokens of a prompt that need a prefill if its leading blocks are cached. */
export function uncachedTokens(promptTokens: number, hitBlocks: number): number {
  return Math.max(0, promptTokens - hitBlocks * BLOCK_TOKENS);
}

/** Estimated number of tokens of a prompt, at least 1. */
export function countTokens(prompt: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN));
}
