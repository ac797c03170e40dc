/** Line-by-line differences of two texts. */

/** Lines of two texts that are not in their longest common subsequence: removed ones marked `-`, added ones `+`. */
export function lineDiff(old: string, updated: string): readonly string[] {
  const a = old.split('\n');
  const b = updated.split('\n');
  const common = commonLengths(a, b);
  const lines: string[] = [];
  let i = 0;
  let j = 0;
  while (i < a.length || j < b.length) {
    if (i < a.length && j < b.length && a[i] === b[j]) {
      i += 1;
      j += 1;
    } else if (
      j >= b.length ||
      (i < a.length && (common[i + 1]?.[j] ?? 0) >= (common[i]?.[j + 1] ?? 0))
    ) {
      lines.push(`- ${a[i]}`);
      i += 1;
    } else {
      lines.push(`+ ${b[j]}`);
      j += 1;
    }
  }
  return lines;
}

/** Length of the longest common subsequence of `a` from line i and `b` from line j. */
function commonLengths(a: readonly string[], b: readonly string[]): readonly (readonly number[])[] {
  const table = Array.from({ length: a.length + 1 }, () => new Array<number>(b.length + 1).fill(0));
  for (let i = a.length - 1; i >= 0; i -= 1) {
    const row = table[i] as number[];
    const below = table[i + 1] as number[];
    for (let j = b.length - 1; j >= 0; j -= 1) {
      row[j] =
        a[i] === b[j]
          ? (below[j + 1] as number) + 1
          : Math.max(below[j] as number, row[j + 1] as number);
    }
  }
  return table;
}
