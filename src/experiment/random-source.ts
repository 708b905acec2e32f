/**
Seeded random numbers in the distributions that workloads use.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Log-normal sizes: the mean, the standard deviation of the logarithm, and a cap. */
export type SizeDistribution = {
	readonly mean: number;
	readonly spread: number;
	readonly max: number;
};

export class RandomSource {
	private readonly _generator: RandomGenerator;

	constructor(seed: number) {
		this._generator = xoroshiro128plus(seed);
	}

	/** From 0 (inclusive) to 1 (exclusive). */
	uniform(): number {
		return uniformFloat64(this._generator);
	}

	exponential(mean: number): number {
		return -mean * Math.log(1 - this.uniform());
	}

	size({mean, spread, max}: SizeDistribution): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.uniform())) * Math.cos(2 * Math.PI * this.uniform());
		return Math.max(1, Math.round(Math.min(max, mean * Math.exp((spread * normal) - (spread * spread / 2)))));
	}

	/** An index, with probabilities in proportion to the weights. */
	pick(weights: readonly number[]): number {
		let remaining = this.uniform() * weights.reduce((sum, weight) => sum + weight, 0);
		for (const [index, weight] of weights.entries()) {
			remaining -= weight;
			if (remaining < 0) {
				return index;
			}
		}

		return weights.length - 1;
	}
}
