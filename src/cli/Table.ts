/** Formats rows as a text table with aligned columns. */
export function table(
  headings: readonly string[],
  rows: readonly (readonly (string | number | boolean)[])[],
): string {
  const cells = [headings, ...rows].map((row) => row.map(String));
  const widths = headings.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0)),
  );
  const lines = cells.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
