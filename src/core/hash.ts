/** Non-cryptographic hashes for comparing the state of two VMs; they give no protection against an attacker. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a of a text's UTF-16 units: 32 bits, unsigned. */
export function textHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    // eslint-disable-next-line no-bitwise -- the hash is defined by bits
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  // eslint-disable-next-line no-bitwise -- to unsigned
  return hash >>> 0;
}
