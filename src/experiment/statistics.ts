/**
Means over seeds with their intervals, and paired differences between variants.
*/

export type MeanWithInterval = {
	readonly mean: number;
	/** Half of the width of the 95 % confidence interval, by Student's t distribution; 0 for a single value. */
	readonly halfWidth: number;
};

/** Quantiles of Student's t distribution for 95 %, by degrees of freedom from 1; beyond the table that of the normal distribution. */
const T_QUANTILES = [12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.2, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.1, 2.09, 2.09];
const NORMAL_QUANTILE = 1.96;

export function meanWithInterval(values: readonly number[]): MeanWithInterval {
	const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
	if (values.length < 2) {
		return {mean, halfWidth: 0};
	}

	const variance = values.reduce((sum, value) => sum + ((value - mean) ** 2), 0) / (values.length - 1);
	const quantile = T_QUANTILES[values.length - 2] ?? NORMAL_QUANTILE;
	return {mean, halfWidth: quantile * Math.sqrt(variance / values.length)};
}

/** Difference of two variants that ran with the same seeds. */
export function pairedDifference(values: readonly number[], reference: readonly number[]): MeanWithInterval {
	return meanWithInterval(values.map((value, index) => value - reference[index]!));
}

/** Rank correlation by Spearman; ties get their mean rank. */
export function rankCorrelation(first: readonly number[], second: readonly number[]): number {
	const a = ranksOf(first);
	const b = ranksOf(second);
	const mean = (first.length - 1) / 2;
	const covariance = a.reduce((sum, rank, index) => sum + ((rank - mean) * (b[index]! - mean)), 0);
	const deviation = (ranks: readonly number[]) => Math.sqrt(ranks.reduce((sum, rank) => sum + ((rank - mean) ** 2), 0));
	return covariance / (deviation(a) * deviation(b));
}

function ranksOf(values: readonly number[]): number[] {
	return values.map(value => values.filter(other => other < value).length + ((values.filter(other => other === value).length - 1) / 2));
}
