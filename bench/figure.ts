/**
A figure measured by a benchmark, with its goal if it has one.
*/

export type Figure = {
	readonly bench: string;
	readonly figure: string;
	readonly value: number;
	readonly unit: string;
	readonly goal?: string;
	readonly met?: boolean;
};

export function median(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
