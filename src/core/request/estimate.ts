/**
Running estimate of a duration: smoothed mean and mean deviation, computed as TCP does
for its round-trip time (RFC 6298, https://www.rfc-editor.org/rfc/rfc6298).
*/

const MEAN_SMOOTHING = 1 / 8;
const DEVIATION_SMOOTHING = 1 / 4;
const LIMIT_DEVIATIONS = 4;

export type Estimate = {
	samples: number;
	meanMs: number;
	deviationMs: number;
};

export function emptyEstimate(): Estimate {
	return {samples: 0, meanMs: 0, deviationMs: 0};
}

export function addSample(estimate: Estimate, sampleMs: number): void {
	estimate.samples++;
	if (estimate.samples === 1) {
		estimate.meanMs = sampleMs;
		estimate.deviationMs = sampleMs / 2;
		return;
	}

	const error = sampleMs - estimate.meanMs;
	estimate.meanMs += MEAN_SMOOTHING * error;
	estimate.deviationMs += DEVIATION_SMOOTHING * (Math.abs(error) - estimate.deviationMs);
}

/** A duration in milliseconds that samples rarely exceed, clamped to the bounds; the upper bound without samples. */
export function upperLimitMs(estimate: Estimate, bounds: {readonly minMs: number; readonly maxMs: number}): number {
	if (estimate.samples === 0) {
		return bounds.maxMs;
	}

	const limitMs = estimate.meanMs + (LIMIT_DEVIATIONS * estimate.deviationMs);
	return Math.min(bounds.maxMs, Math.max(bounds.minMs, limitMs));
}
