/**
Formats rows as plain-text tables.
*/

export type Cell = string | number | boolean | undefined | readonly string[];
export type TableRow = Readonly<Record<string, Cell>>;

const COLUMN_GAP = '  ';

/** Aligns rows in columns. The keys of the first row determine the columns. */
export function formatTable(rows: readonly TableRow[]): string {
	const [first] = rows;
	if (!first) {
		return '(none)';
	}

	const columns = Object.keys(first);
	const lines = [columns.map(column => column.toUpperCase()), ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]?.length ?? 0)));
	return lines
		.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(COLUMN_GAP).trimEnd())
		.join('\n');
}

function formatCell(cell: Cell): string {
	if (cell === undefined) {
		return '-';
	}

	return typeof cell === 'object' ? cell.join(',') || '-' : String(cell);
}
