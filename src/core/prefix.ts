/**
 * Prefix block hashes. A prompt is cut into blocks; each block's hash covers all
 * blocks before it, so equal hashes mean equal prefixes.
 */

import { createHash } from 'node:crypto';

/** Bytes of prompt text in one block. */
export const BLOCK_BYTES = 1024;
/** Bytes of prompt text that make one token in estimates. */
export const BYTES_PER_TOKEN = 4;
/** Tokens in one block. */
export const BLOCK_TOKENS = BLOCK_BYTES / BYTES_PER_TOKEN;
/** Blocks hashed at most; later ones do not steer placement. */
const MAX_BLOCKS = 64;

/**
 * Hashes of the leading blocks of a prompt.
 *
 * The salt is the team or the sharing group. Without it a rival could send a
 * guessed prompt and tell from the time to first token whether another team
 * sent it before; with it, equal prompts of different groups never share cache.
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

/** Tokens of a prompt that are left to work through when its leading blocks are cached. */
export function uncachedTokens(promptTokens: number, hitBlocks: number): number {
  return Math.max(0, promptTokens - hitBlocks * BLOCK_TOKENS);
}

/** Estimated tokens of a prompt. */
export function countTokens(prompt: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN));
}
